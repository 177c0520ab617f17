//! The table that maps each error kind to its HTTP response.

use amaranth_wire::error::{ANSWER_TABLE, CallError, ErrorKind, RanState, UnknownKindError};

#[test]
fn answer_table_rows_follow_the_enum_order() {
    for (index, row) in ANSWER_TABLE.iter().enumerate() {
        assert_eq!(row.kind as usize, index, "{}", row.name);
        assert_eq!(row.kind.row(), row);
    }
}

#[test]
fn kind_names_are_the_same_in_text_and_json() {
    for row in &ANSWER_TABLE {
        let kind = row.kind;
        assert_eq!(kind.to_string(), row.name);
        assert_eq!(row.name.parse(), Ok(kind));
        let json = serde_json::to_string(&kind).expect("kinds encode");
        assert_eq!(json, format!("{:?}", row.name));
    }
    let unknown = "teapot".parse::<ErrorKind>();
    assert_eq!(unknown, Err(UnknownKindError("teapot".to_owned())));
}

#[test]
fn every_row_has_an_error_status() {
    for row in &ANSWER_TABLE {
        assert!((400..600).contains(&row.status), "{}", row.name);
    }
}

#[test]
fn client_errors_report_that_the_work_did_not_run() {
    let kinds = [
        ErrorKind::InvalidRequest,
        ErrorKind::InvalidItems,
        ErrorKind::BodyTooLarge,
        ErrorKind::BodyTimeout,
        ErrorKind::UnknownTarget,
        ErrorKind::NotFound,
        ErrorKind::MethodNotAllowed,
        ErrorKind::Unauthorized,
        ErrorKind::Forbidden,
        ErrorKind::KeyConflict,
    ];
    for kind in kinds {
        let row = kind.row();
        assert!((400..500).contains(&row.status), "{kind}");
        assert_eq!(row.ran, RanState::No, "{kind}");
    }
}

#[test]
fn ran_state_comes_from_the_table_unless_it_is_set() {
    let error = CallError::new(ErrorKind::UpstreamFailed, "gone");
    assert_eq!(error.ran, RanState::Unknown);
    assert_eq!(error.to_string(), "upstream_failed: gone");
    assert_eq!(error.with_ran(RanState::No).ran, RanState::No);
}
