// Package exchanger is an HTTP/1.1 client on the nbio event loop, with connection pools. A
// connection carries one exchange, a request and its response, at a time. Errors say whether the
// server may have run the request.
package exchanger
