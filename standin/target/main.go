package main

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/fescuethread/fescuethread/standin/platformer"
	"github.com/fescuethread/fescuethread/standin/targeter"
)

const (
	// headerTimeout is the timeout for reading a request's header.
	headerTimeout = 5 * time.Second
	// storeTimeout is the timeout of a call to the store.
	storeTimeout = 5 * time.Second
	// drainPeriod is how long a draining target continues to serve.
	drainPeriod = 3 * time.Second
)

func main() {
	listen := flag.String("listen", "127.0.0.1:0", "IP address and port")
	store := flag.String("store", "127.0.0.1:7000", "IP address and port of the store")
	var cfg targeter.Config
	flag.StringVar(&cfg.ID, "id", "", "instance ID; each start of a target needs a new one")
	flag.StringVar(&cfg.Service, "service", "", "service that the target runs")
	flag.StringVar(&cfg.Zone, "zone", "", "availability zone of the target")
	flag.Parse()
	if err := run(*listen, *store, cfg); err != nil {
		fmt.Fprintln(os.Stderr, "target:", err)
		os.Exit(1)
	}
}

func run(listen, store string, cfg targeter.Config) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	l, err := new(net.ListenConfig).Listen(ctx, "tcp", listen)
	if err != nil {
		return errors.WithStack(err)
	}
	t := targeter.New(cfg)
	srv := &http.Server{Handler: t, ReadHeaderTimeout: headerTimeout}
	served := make(chan error, 1)
	go func() { served <- srv.Serve(l) }()
	if err := writeEntry(http.MethodPost, store, t, l.Addr().String()); err != nil {
		return err
	}
	fmt.Println("listening", l.Addr())
	select {
	case err := <-served:
		return errors.WithStack(err)
	case <-ctx.Done():
	}
	t.Drain()
	if err := writeEntry(http.MethodPut, store, t, l.Addr().String()); err != nil {
		return err
	}
	<-time.After(drainPeriod)
	if err := writeEntry(http.MethodDelete, store, t, ""); err != nil {
		return err
	}
	return errors.WithStack(srv.Close())
}

// writeEntry creates, updates or deletes the target's entry in the store, depending on the method.
func writeEntry(method, store string, t *targeter.Target, address string) error {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	spec, status := t.Entry(address)
	body, err := encodeEntry(t.ID(), spec, status)
	if err != nil {
		return err
	}
	path := "http://" + store + platformer.PathObjects + targeter.Kind
	if method != http.MethodPost {
		path += "/" + t.ID()
	}
	r, err := http.NewRequestWithContext(ctx, method, path, bytes.NewReader(body))
	if err != nil {
		return errors.WithStack(err)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return errors.WithStack(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(resp.Body)
		return errors.Errorf("the store responded with status %d: %s", resp.StatusCode, text)
	}
	return nil
}

func encodeEntry(id string, spec targeter.Spec, status targeter.Status) ([]byte, error) {
	o := platformer.Object{Meta: platformer.Meta{Name: id}}
	var err error
	if o.Spec, err = json.Marshal(spec); err != nil {
		return nil, errors.WithStack(err)
	}
	if o.Status, err = json.Marshal(status); err != nil {
		return nil, errors.WithStack(err)
	}
	data, err := json.Marshal(o)
	return data, errors.WithStack(err)
}
