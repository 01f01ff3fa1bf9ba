//! Validation of session tokens, alone and by entries.

use quetzalworks::session::{InvalidToken, SessionKey, Token};
use quetzalworks::units::Millis;
use serde_json::json;

use crate::testing::cluster::Cluster;
use crate::testing::http;

fn token(team: &str, version: &str) -> Token {
    Token {
        team: team.parse().unwrap(),
        profile: "chat".parse().unwrap(),
        version: version.parse().unwrap(),
        vm: "endpoint-0".parse().unwrap(),
        made_at: Millis(17),
    }
}

/// Guards against tokens that a caller has forged or altered.
#[test]
fn forged_tokens_are_rejected() {
    struct Case {
        name: &'static str,
        text: String,
        opened: Result<Token, InvalidToken>,
    }
    let key = SessionKey::new(&[7; 32]).unwrap();
    let other = SessionKey::new(&[8; 32]).unwrap();
    let genuine = token("red", "small-1");
    let sealed = genuine.seal(&key);
    let mut changed = sealed.clone().into_bytes();
    changed[4] = if changed[4] == b'A' { b'B' } else { b'A' };
    let cases = [
        Case {
            name: "genuine",
            text: sealed.clone(),
            opened: Ok(genuine.clone()),
        },
        Case {
            name: "other key",
            text: genuine.seal(&other),
            opened: Err(InvalidToken),
        },
        Case {
            name: "altered",
            text: String::from_utf8(changed).unwrap(),
            opened: Err(InvalidToken),
        },
        Case {
            name: "truncated",
            text: sealed[..sealed.len() - 4].into(),
            opened: Err(InvalidToken),
        },
        Case {
            name: "empty",
            text: String::new(),
            opened: Err(InvalidToken),
        },
        Case {
            name: "not base64",
            text: "???".into(),
            opened: Err(InvalidToken),
        },
    ];
    for case in cases {
        assert_eq!(Token::open(&case.text, &key), case.opened, "{}", case.name);
    }
    assert!(SessionKey::new(&[7; 31]).is_err());
}

/// Guards against an entry that accepts a forged session or one of another team, and
/// against a session that leaves its version without notice to the caller.
#[test]
fn entries_validate_session_tokens() {
    struct Case {
        name: &'static str,
        token: String,
        status: u16,
        moved: Option<&'static str>,
    }
    let key = SessionKey::new(&[7; 32]).unwrap();
    let other = SessionKey::new(&[8; 32]).unwrap();
    let cases = [
        Case {
            name: "valid token",
            token: token("red", "small-1").seal(&key),
            status: 200,
            moved: None,
        },
        Case {
            name: "forged",
            token: token("red", "small-1").seal(&other),
            status: 400,
            moved: None,
        },
        Case {
            name: "other team",
            token: token("blue", "small-1").seal(&key),
            status: 403,
            moved: None,
        },
        Case {
            name: "version not allowed",
            token: token("red", "gone-1").seal(&key),
            status: 200,
            moved: Some("version_not_allowed"),
        },
    ];
    let cluster = Cluster::start(1, 1);
    let bearer = format!("Bearer {}", cluster.team_token);
    for case in cases {
        let body = json!({
            "model": "chat", "max_tokens": 1,
            "messages": [{ "role": "user", "content": "hello" }],
        });
        let headers = [
            ("authorization", bearer.as_str()),
            ("x-quetzalworks-session", case.token.as_str()),
        ];
        let answer = http::send(
            cluster.entry_addr(0),
            &hyper::Method::POST,
            "/v1/chat/completions",
            &headers,
            body.to_string().as_bytes(),
        )
        .unwrap();
        assert_eq!(answer.status, case.status, "{}", case.name);
        assert!(answer.header("x-quetzalworks-request-id").is_some());
        let moved = answer.header("x-quetzalworks-session-moved");
        assert_eq!(moved, case.moved, "{}", case.name);
        if case.status == 200 {
            let next = answer.header("x-quetzalworks-session").unwrap();
            assert_eq!(
                Token::open(next, &key).unwrap().version.as_str(),
                "small-1",
                "{}",
                case.name
            );
        }
    }
}
