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

	"github.com/pkg/errors"

	"github.com/fescuethread/fescuethread/standin/requester"
)

func main() {
	var l requester.Load
	directories := flag.String("directories", "127.0.0.1:7201",
		"comma-separated addresses of directories")
	bytes := flag.Int("bytes", 0, "size of each request body in bytes")
	flag.StringVar(&l.Zone, "zone", "", "availability zone of the callers")
	flag.StringVar(&l.Request.Host, "host", "", "Host header, which selects the route")
	flag.StringVar(&l.Request.Method, "method", "GET", "HTTP method")
	flag.StringVar(&l.Request.Path, "path", "/", "path and query")
	flag.StringVar(&l.Request.Key, "key", "", "API key of the customer")
	flag.DurationVar(&l.Request.Timeout, "timeout", 2*time.Second, "timeout of a request")
	flag.IntVar(&l.Objects, "objects", 20, "number of different affinity keys")
	flag.Float64Var(&l.Rate, "rate", 50, "requests per second")
	flag.DurationVar(&l.Duration, "duration", 5*time.Second, "how long to send requests")
	flag.IntVar(&l.Workers, "workers", 32, "maximum number of concurrent requests")
	flag.Uint64Var(&l.Seed, "seed", 1, "random seed")
	flag.Parse()
	l.Directories = strings.Split(*directories, ",")
	l.Request.Body = make([]byte, *bytes)
	if err := run(l); err != nil {
		fmt.Fprintln(os.Stderr, "caller:", err)
		os.Exit(1)
	}
}

func run(l requester.Load) error {
	if l.Rate <= 0 || l.Workers <= 0 {
		return errors.New("rate and workers must be above 0")
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return errors.WithStack(json.NewEncoder(os.Stdout).Encode(requester.Run(ctx, l)))
}
