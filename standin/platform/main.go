package main

import (
	"context"
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

const headerTimeout = 10 * time.Second

func main() {
	listen := flag.String("listen", "127.0.0.1:0", "address to listen on; port 0 picks a free one")
	lag := flag.Duration("lag", 0, "time until a change of a host shows in the list of hosts")
	flag.Parse()
	if err := run(*listen, *lag); err != nil {
		fmt.Fprintln(os.Stderr, "platform:", err)
		os.Exit(1)
	}
}

func run(listen string, lag time.Duration) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	l, err := new(net.ListenConfig).Listen(ctx, "tcp", listen)
	if err != nil {
		return err
	}
	fmt.Println("listening", l.Addr())
	server := &http.Server{
		Handler:           platformer.New(platformer.Config{Lag: lag}),
		ReadHeaderTimeout: headerTimeout,
	}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
