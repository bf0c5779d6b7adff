//! The peer listener and the authentication of its callers.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use heatherfall::core::VmId;
use heatherfall::peer::generated::peer::peer_exchange_server::{PeerExchange, PeerExchangeServer};
use heatherfall::peer::generated::peer::{ExchangeReply, ExchangeRequest};
use heatherfall::peer::{
    AuthError, PeerAuth, PeerChannels, PeerError, PeerKeys, PeerServer, PeerTransport,
    TonicTransport,
};
use http::HeaderMap;
use tokio_util::sync::CancellationToken;
use tonic::service::Routes;
use tonic::{Request, Response, Status};

const OLD_KEY: &str = "the former key of the fleet\n";
const NEW_KEY: &str = "the new key of the fleet\n";
const METHOD: &str = "/heatherfall.peer.PeerExchange/Exchange";

fn auth(vm: &str, keys: &str) -> PeerAuth {
    PeerAuth::new(VmId::new(vm), PeerKeys::parse(keys).expect("keys"))
}

struct FixedReply;

#[tonic::async_trait]
impl PeerExchange for FixedReply {
    async fn exchange(
        &self,
        request: Request<ExchangeRequest>,
    ) -> Result<Response<ExchangeReply>, Status> {
        let sender = request.extensions().get::<VmId>().expect("a verified sender");
        assert_eq!(sender.as_str(), "caller");
        Ok(Response::new(ExchangeReply { generation: 7, ..ExchangeReply::default() }))
    }
}

async fn start_server(auth: PeerAuth) -> (SocketAddr, CancellationToken) {
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let server = PeerServer::bind(any, auth).await.expect("listens");
    let addr = server.local_addr().expect("address");
    let stop = CancellationToken::new();
    let routes = Routes::new(PeerExchangeServer::new(FixedReply));
    tokio::spawn(server.run(routes, stop.clone()));
    (addr, stop)
}

async fn call(to: SocketAddr, auth: PeerAuth) -> Result<ExchangeReply, PeerError> {
    let transport = TonicTransport::new(PeerChannels::default(), auth);
    transport.exchange(to, ExchangeRequest::default()).await
}

#[tokio::test]
async fn a_call_with_another_key_is_refused_and_counted() {
    let callee = auth("callee", OLD_KEY);
    let (addr, _stop) = start_server(callee.clone()).await;
    let reply = call(addr, auth("caller", OLD_KEY)).await.expect("a reply");
    assert_eq!(reply.generation, 7);
    assert_eq!(callee.refused(), 0);
    for _ in 0..3 {
        let refusal = call(addr, auth("caller", "a key of another fleet\n")).await;
        assert!(matches!(refusal, Err(PeerError::Unauthenticated)), "{refusal:?}");
    }
    assert_eq!(callee.refused(), 3);
}

#[tokio::test]
async fn keys_rotate_without_a_restart_and_without_a_refused_call() {
    let callee = auth("callee", OLD_KEY);
    let caller = auth("caller", OLD_KEY);
    let (addr, _stop) = start_server(callee.clone()).await;
    let both = |first: &str, second: &str| PeerKeys::parse(&format!("{first}{second}")).unwrap();
    // The first key of a list signs, all verify. Each step reaches all nodes before the next:
    // accept the new key, sign with it, drop the old one.
    for keys in [both(OLD_KEY, NEW_KEY), both(NEW_KEY, OLD_KEY), PeerKeys::parse(NEW_KEY).unwrap()]
    {
        callee.set_keys(keys.clone());
        call(addr, caller.clone()).await.expect("callee first");
        caller.set_keys(keys);
        call(addr, caller.clone()).await.expect("both");
    }
    assert_eq!(callee.refused(), 0);
    let late = call(addr, auth("caller", OLD_KEY)).await;
    assert!(matches!(late, Err(PeerError::Unauthenticated)), "{late:?}");
}

#[test]
fn a_signature_is_valid_for_its_method_and_sender_only() {
    let auth = auth("caller", OLD_KEY);
    let mut headers = HeaderMap::new();
    auth.sign(METHOD, &mut headers);
    assert_eq!(auth.verify(METHOD, &headers).expect("valid").as_str(), "caller");
    assert_eq!(
        auth.verify("/heatherfall.ledger.ClaimLedger/Claim", &headers),
        Err(AuthError::InvalidMac)
    );
    let mut forged = headers.clone();
    forged.insert("heatherfall-sender", "other".parse().unwrap());
    assert_eq!(auth.verify(METHOD, &forged), Err(AuthError::InvalidMac));
    let mut delayed = headers.clone();
    delayed.insert("heatherfall-time", "1".parse().unwrap());
    assert_eq!(auth.verify(METHOD, &delayed), Err(AuthError::InvalidMac));
    assert_eq!(auth.verify(METHOD, &HeaderMap::new()), Err(AuthError::InvalidMetadata));
    auth.record_refused(IpAddr::V4(Ipv4Addr::LOCALHOST), AuthError::InvalidMetadata);
    assert_eq!(auth.refused(), 1);
}

#[test]
fn a_key_file_without_a_usable_key_is_refused() {
    for text in ["", "# only a comment\n", "short\n"] {
        assert!(PeerKeys::parse(text).is_err(), "{text:?}");
    }
}
