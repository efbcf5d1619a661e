package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/fescuethread/fescuethread/standin/requester"
)

const (
	defaultConnections = 8
	defaultCount       = 1000
	defaultDuration    = 10 * time.Second
	defaultTimeout     = 10 * time.Second
)

func main() {
	cfg := requester.Config{}
	flag.Func("mode", "follow, fixed, direct, lookup or idle", func(text string) error {
		cfg.Mode = requester.Mode(text)
		return nil
	})
	flag.Func("hosts", "addresses of entry hosts or targets, by commas", func(text string) error {
		cfg.Hosts = strings.Split(text, ",")
		return nil
	})
	flag.StringVar(&cfg.Service, "service", "saleroom", "service asked for")
	flag.StringVar(&cfg.Place, "place", "", "region or availability zone stated in look-ups")
	flag.StringVar(&cfg.Key, "key", os.Getenv("FESCUETHREAD_KEY"), "the caller's key")
	flag.StringVar(&cfg.Path, "path", "/catalogue", "path and query of requests")
	flag.Float64Var(&cfg.Rate, "rate", 0, "requests a second of an open loop; 0 is a closed loop")
	flag.IntVar(&cfg.Connections, "connections", defaultConnections, "most requests in flight")
	flag.IntVar(&cfg.Posts, "posts", 0, "percentage of non-idempotent requests")
	flag.IntVar(&cfg.Count, "count", defaultCount, "most requests")
	flag.DurationVar(&cfg.Duration, "duration", defaultDuration, "longest time of sending")
	flag.DurationVar(&cfg.Timeout, "timeout", defaultTimeout, "longest wait for an answer")
	flag.Uint64Var(&cfg.Seed, "seed", 1, "seed of the random choices")
	asJSON := flag.Bool("json", false, "print JSON")
	flag.Parse()
	if cfg.Mode == "" {
		cfg.Mode = requester.ModeFollow
	}
	if err := run(cfg, *asJSON); err != nil {
		fmt.Fprintln(os.Stderr, "caller:", err)
		os.Exit(1)
	}
}

func run(cfg requester.Config, asJSON bool) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	report, err := requester.Run(ctx, cfg)
	if err != nil {
		return err
	}
	if asJSON {
		return json.NewEncoder(os.Stdout).Encode(report)
	}
	fmt.Print(report.Text())
	return nil
}
