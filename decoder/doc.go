// Package decoder decodes the chunked transfer coding of HTTP/1.1 piece by piece, without keeping
// data.
package decoder
