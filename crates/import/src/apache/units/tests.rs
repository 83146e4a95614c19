use super::{switch, time, Url};

#[test]
fn times_switches_and_urls_are_parsed() {
    assert_eq!(
        [time("5"), time("500ms"), time("2mi"), time("x")],
        [Some(5e3), Some(500.0), Some(120e3), None]
    );
    assert_eq!([switch("ON"), switch("off"), switch("1")], [Some(true), Some(false), None]);
    let parts =
        |text| Url::parse(text).map(|url| format!("{} {} {} {}", url.scheme, url.host, url.port, url.path));
    assert_eq!(parts("http://a:8080/x/y").unwrap(), "http a 8080 /x/y");
    assert_eq!(parts("AJP://a").unwrap(), "ajp a 8009 ");
    assert_eq!(parts("http://[::1]:9/").unwrap(), "http [::1] 9 /");
    assert_eq!(
        (parts("http://[::1]").unwrap().as_str(), parts("a:80"), parts("http://:80")),
        ("http [::1] 80 ", None, None)
    );
}
