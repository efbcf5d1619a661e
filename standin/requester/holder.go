package requester

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// hold opens connections, sends one look-up on each and leaves them idle until the time is up.
func hold(ctx context.Context, cfg Config, t *tally) error {
	ctx, cancel := context.WithTimeout(ctx, cfg.Duration)
	defer cancel()
	connections := make([]net.Conn, 0, cfg.Connections)
	defer func() {
		for _, c := range connections {
			_ = c.Close()
		}
	}()
	for i := range cfg.Connections {
		c, err := open(ctx, cfg, cfg.Hosts[i%len(cfg.Hosts)], t)
		if err != nil {
			return &Error{Op: "hold", Kind: KindConnect, Err: err}
		}
		connections = append(connections, c)
	}
	<-ctx.Done()
	return nil
}

func open(ctx context.Context, cfg Config, host string, t *tally) (net.Conn, error) {
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", host)
	if err != nil {
		return nil, err
	}
	start := time.Now()
	_, err = fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", lookupQuery(cfg), host)
	if err != nil {
		_ = c.Close()
		return nil, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		_ = c.Close()
		return nil, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	if err != nil {
		_ = c.Close()
		return nil, err
	}
	t.add(kindLookup, outcomeOf(resp), time.Since(start))
	return c, nil
}
