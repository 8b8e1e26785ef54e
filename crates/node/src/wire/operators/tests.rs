use super::*;

#[test]
fn calls_are_routed_by_method_and_path() {
    let status = |method: &str, path: &str| route(method, path).map_err(|response| response.status);
    assert_eq!(status("GET", "/v1/readyz"), Ok(OperatorCall::Ready));
    assert_eq!(
        status("PUT", "/v1/hosts/s-1/suspend"),
        Ok(OperatorCall::Command(OperatorCommand::Suspend("s-1".into())))
    );
    assert_eq!(
        status("PUT", "/v1/hosts/a%2fb%zz%/resume"),
        Ok(OperatorCall::Command(OperatorCommand::Resume("a/b%zz%".into())))
    );
    assert_eq!(status("PUT", "/v1/invoker/activate"), Ok(OperatorCall::Command(OperatorCommand::Activate)));
    assert_eq!(status("POST", "/v1/invoker/drain"), Err(405));
    assert_eq!(status("PUT", "/v1/readyz"), Err(405));
    for path in ["/", "/v1", "/v1/hosts/suspend", "/v1/hosts/a/b/suspend", "/v2/readyz", "/v1/invoker/drain/"]
    {
        assert_eq!(status("PUT", path), Err(404), "{path}");
    }
}
