package httpjson

import "net/http"

// unredirected is a transport whose responses do not redirect. kratos' client cannot be told not to follow redirects: it would send a call on to
// any address that a faulty server names, and take the response to a GET there for that to a POST here.
type unredirected struct{ http.RoundTripper }

// RoundTrip removes the field that tells a client where to go, so that the status counts as a failure.
func (u unredirected) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := u.RoundTripper.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	if response.StatusCode/100 == http.StatusMultipleChoices/100 {
		response.Header.Del("Location")
	}
	return response, nil
}
