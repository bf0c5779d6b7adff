//! `heatherfall explain`.

use std::process::ExitCode;

use clap::Args;
use comfy_table::Table;
use comfy_table::presets::NOTHING;
use heatherfall::ops::GlobalContext;
use heatherfall::ops::explain::{self, RequestExplanation};
use heatherfall::request::RequestHead;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Uri};
use miette::{IntoDiagnostic, miette};

/// Show how the configuration handles a request: rules, route, idempotence, upstreams.
///
/// Sends no request. Uses the newest published generation, which is the one that nodes apply.
///
/// Exit codes: 0 a route selects the request, 1 no route does; others as in `heatherfall --help`.
#[derive(Args, Debug)]
pub(crate) struct ExplainArgs {
    /// Path and query of the request.
    path: Uri,
    /// Method of the request.
    #[arg(short = 'X', long, default_value = "GET")]
    method: Method,
    /// Header `NAME: VALUE`; may be repeated. `Host: NAME` sets the host.
    #[arg(short = 'H', long = "header", value_name = "HEADER")]
    headers: Vec<String>,
    /// Use the stored objects, whether or not they are accepted yet.
    #[arg(long)]
    proposed: bool,
}

impl ExplainArgs {
    pub(crate) async fn exec(self, ctx: &GlobalContext) -> miette::Result<ExitCode> {
        let store = ctx.store();
        let snapshot = if self.proposed {
            explain::load_proposed(&store).await?
        } else {
            explain::load_active(&store).await?
        };
        let headers = parse_headers(&self.headers)?;
        let head = RequestHead { method: &self.method, uri: &self.path, headers: &headers };
        let explanation = explain::explain(&snapshot, head);
        if ctx.is_json {
            println!("{}", serde_json::to_string_pretty(&explanation).into_diagnostic()?);
        } else {
            print_text(&explanation);
        }
        let is_routed = !explanation.routes.is_empty();
        Ok(if is_routed { ExitCode::SUCCESS } else { ExitCode::FAILURE })
    }
}

fn parse_headers(lines: &[String]) -> miette::Result<HeaderMap> {
    let mut headers = HeaderMap::new();
    for line in lines {
        let Some((name, value)) = line.split_once(':') else {
            return Err(miette!("a header is NAME: VALUE, not {line:?}"));
        };
        let name = HeaderName::try_from(name.trim()).into_diagnostic()?;
        let value = HeaderValue::try_from(value.trim()).into_diagnostic()?;
        headers.append(name, value);
    }
    Ok(headers)
}

fn print_text(explanation: &RequestExplanation) {
    println!("generation   {}", explanation.generation);
    println!("tenant       {}", explanation.tenant);
    println!("class        {}", explanation.class);
    let mut labels = Vec::new();
    for (key, value) in explanation.labels.iter() {
        labels.push(format!("{key}={value}"));
    }
    println!("labels       {}", labels.join(","));
    let decision = &explanation.idempotence;
    println!("idempotence  {} ({})", mode_name(decision.mode), decision.reason);
    for (name, mode) in &decision.rules {
        println!("             Idempotence {name}: {}", mode_name(*mode));
    }
    println!("\nrequest rules, the first decides");
    for rule in &explanation.rules {
        println!("  {}: {}", rule.name, rule.sets.join(" "));
        for overruled in &rule.overruled {
            println!("    overruled: {overruled}");
        }
    }
    println!("\nroutes, the first is taken");
    if explanation.routes.is_empty() {
        println!("  none: the request is refused with HF-1001");
    }
    for route in &explanation.routes {
        println!(
            "  {} priority={} deadline={} attempts={} criticality={}",
            route.name,
            route.priority,
            humantime::format_duration(route.deadline),
            route.max_attempts,
            format!("{:?}", route.criticality).to_lowercase(),
        );
    }
    let mut table = Table::new();
    table.load_style(NOTHING).set_header(["UPSTREAM", "ADDRESS", "FAILURE DOMAIN", "DRAINING"]);
    for upstream in &explanation.upstreams {
        let draining = if upstream.is_draining { "yes" } else { "no" };
        table.add_row([&*upstream.name, &*upstream.address, &*upstream.failure_domain, draining]);
    }
    println!("\n{}", table.trim_fmt());
}

fn mode_name(mode: heatherfall::core::IdempotenceMode) -> &'static str {
    match mode {
        heatherfall::core::IdempotenceMode::AtMostOnce => "at-most-once",
        heatherfall::core::IdempotenceMode::Idempotent => "idempotent",
    }
}
