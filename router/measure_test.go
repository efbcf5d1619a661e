package router

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

var scenes = []scene{
	{name: "even load 60 %", load: 0.6},
	{name: "one zone hot at 150 %", load: 0.6, hot: 1.5},
	{name: "one zone lost", load: 0.6, lostZone: true},
	{name: "one region lost", load: 0.55, lostHosts: true},
	{name: "targets of one region lost", load: 0.55, lostRegion: true},
	{name: "targets of one region lost, cold caches", load: 0.55, lostRegion: true, cold: 3},
	{name: "every zone at 130 %", load: 1.3},
	{name: "one zone hot, no reports for 10 s", load: 0.6, hot: 1.5, silent: 10 * time.Second},
	{name: "targets of one region lost, no reports for 10 s", load: 0.55, lostRegion: true, silent: 10 * time.Second},
	{name: "one zone hot, another falsely free", load: 0.6, hot: 1.5, falseFree: true},
}

var policies = []struct {
	name   string
	choose policy
}{
	{name: "own zone only", choose: ownZone},
	{name: "round robin", choose: roundRobin},
	{name: "least loaded", choose: leastLoaded},
	{name: "router", choose: decide},
}

// BenchmarkPolicies prints one row for each deployment, scene and policy.
func BenchmarkPolicies(b *testing.B) {
	for range b.N {
		for _, d := range deployments {
			for _, sc := range scenes {
				for _, p := range policies {
					fmt.Println("|", d.name, "|", sc.name, "|", p.name, newModel(d, sc, p.choose, 1).run())
				}
			}
		}
	}
}

func BenchmarkDecide(b *testing.B) {
	for _, n := range []int{6, 92} {
		var zones []Zone
		for i := range n {
			zones = append(zones, Zone{
				Name: zoneName(i), Region: regionName(i), Near: i == 0, RTT: time.Duration(i) * time.Millisecond, Senders: 7,
				Hosts: []string{"h"}, Load: Load{Known: true, Ready: 30, Busy: 20, Service: modelMean},
			})
		}
		b.Run(fmt.Sprint(n, " zones"), func(b *testing.B) {
			rng := rand.New(rand.NewPCG(1, 1))
			b.ReportAllocs()
			for b.Loop() {
				Decide("r0", zones, rng)
			}
		})
	}
}
