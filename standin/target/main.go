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

	"github.com/fescuethread/fescuethread/standin/targeter"
)

const (
	headerTimeout = 10 * time.Second
	stopTimeout   = 10 * time.Second

	// exitCrash is the exit code after a crash on demand.
	exitCrash = 3

	defaultSlots       = 9
	defaultLatency     = 5 * time.Millisecond
	defaultColdLatency = 50 * time.Millisecond
)

func main() {
	cfg := targeter.Config{Crash: func() { os.Exit(exitCrash) }}
	listen := flag.String("listen", "127.0.0.1:0", "address to listen on; port 0 picks a free one")
	flag.StringVar(&cfg.Name, "name", "target", "name in answers")
	flag.IntVar(&cfg.Slots, "slots", defaultSlots, "number of requests that run at once")
	flag.DurationVar(&cfg.Latency, "latency", defaultLatency, "time that a run takes")
	flag.IntVar(&cfg.Cold, "cold", 0, "number of first runs that are cold")
	flag.DurationVar(&cfg.ColdLatency, "cold-latency", defaultColdLatency, "time of a cold run")
	flag.BoolVar(&cfg.Shed, "shed", false, "refuse requests above the slots with 503")
	flag.Parse()
	if err := run(*listen, cfg); err != nil {
		fmt.Fprintln(os.Stderr, "target:", err)
		os.Exit(1)
	}
}

func run(listen string, cfg targeter.Config) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	l, err := new(net.ListenConfig).Listen(ctx, "tcp", listen)
	if err != nil {
		return err
	}
	fmt.Println("listening", l.Addr())
	server := &http.Server{Handler: targeter.New(cfg), ReadHeaderTimeout: headerTimeout}
	stopped := make(chan error, 1)
	context.AfterFunc(ctx, func() { stopped <- shutdown(server) })
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return <-stopped
}

// shutdown lets requests in flight end.
func shutdown(server *http.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	return server.Shutdown(ctx)
}
