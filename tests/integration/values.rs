//! Newtypes: round trips of their text forms, and the range of values that they accept.

use quetzalworks::ids::{Digest, Fingerprint, RequestId, VmName};
use quetzalworks::units::{Millis, Quality, Tokens};

/// Guards against a text form that does not parse back to the same value.
#[test]
fn text_forms_round_trip() {
    arbtest::arbtest(|u| {
        let id = RequestId(u.arbitrary()?);
        assert_eq!(id.to_string().parse(), Ok(id));
        let fingerprint = Fingerprint(u.arbitrary()?);
        assert_eq!(fingerprint.to_string().parse(), Ok(fingerprint));
        let millis = Millis(u.arbitrary()?);
        assert_eq!(millis.to_string().parse(), Ok(millis));
        let tokens = Tokens(u.arbitrary()?);
        assert_eq!(tokens.to_string().parse(), Ok(tokens));
        let digest = Digest::of(u.bytes(8)?);
        assert_eq!(digest.to_string().parse(), Ok(digest));
        Ok(())
    })
    .seed(0x5eed_0001_0000_0040)
    .run();
}

/// Guards against accepted names and numbers that are out of range, and against
/// rejected ones within it.
#[test]
fn ranges_are_checked() {
    struct Case {
        text: &'static str,
        name: bool,
        quality: bool,
    }
    let cases = [
        Case {
            text: "",
            name: false,
            quality: false,
        },
        Case {
            text: "vm-1.north",
            name: true,
            quality: false,
        },
        Case {
            text: "a b",
            name: false,
            quality: false,
        },
        Case {
            text: "0.5",
            name: true,
            quality: true,
        },
        Case {
            text: "1.5",
            name: true,
            quality: false,
        },
        Case {
            text: "-0.1",
            name: true,
            quality: false,
        },
        Case {
            text: "NaN",
            name: true,
            quality: false,
        },
    ];
    for case in cases {
        assert_eq!(
            case.text.parse::<VmName>().is_ok(),
            case.name,
            "{:?}",
            case.text
        );
        assert_eq!(
            case.text.parse::<Quality>().is_ok(),
            case.quality,
            "{:?}",
            case.text
        );
    }
}
