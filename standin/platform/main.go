package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/fescuethread/fescuethread/standin/platformer"
)

// headerTimeout is the timeout for reading a request's header.
const headerTimeout = 5 * time.Second

func main() {
	listen := flag.String("listen", "127.0.0.1:7000", "IP address and port")
	config := flag.String("config", "", "JSON file with the content of config/main")
	flag.Parse()
	if err := run(*listen, *config); err != nil {
		fmt.Fprintln(os.Stderr, "platform:", err)
		os.Exit(1)
	}
}

func run(listen, config string) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	store := platformer.NewStore()
	if config != "" {
		data, err := os.ReadFile(config)
		if err != nil {
			return errors.WithStack(err)
		}
		if !json.Valid(data) {
			return errors.Errorf("%s is not valid JSON", config)
		}
		store.Put("config", "main", json.RawMessage(data), nil)
	}
	l, err := new(net.ListenConfig).Listen(ctx, "tcp", listen)
	if err != nil {
		return errors.WithStack(err)
	}
	srv := &http.Server{Handler: platformer.NewHandler(store), ReadHeaderTimeout: headerTimeout}
	go func() {
		<-ctx.Done()
		_ = srv.Close()
	}()
	fmt.Println("listening", l.Addr())
	if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return errors.WithStack(err)
	}
	return nil
}
