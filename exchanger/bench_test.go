package exchanger

import (
	"bufio"
	"io"
	"net"
	"testing"
)

func benchmarkExchange(b *testing.B, reuse bool) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				for r := bufio.NewReader(c); readRequest(r) != nil; {
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
				}
				_ = c.Close()
			}()
		}
	}()
	e, err := New(Limits{})
	if err != nil {
		b.Fatal(err)
	}
	defer e.Close()
	p := NewPool(e, PoolConfig{Address: ln.Addr().String()})
	exchange := p.ExchangeNewConn
	if reuse {
		exchange = p.Exchange
	}
	for b.Loop() {
		if _, err := exchange(b.Context(), get("id")); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkExchangeReused(b *testing.B) { benchmarkExchange(b, true) }

func BenchmarkExchangeFresh(b *testing.B) { benchmarkExchange(b, false) }
