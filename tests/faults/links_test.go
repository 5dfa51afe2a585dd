package faults

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"

	toxiproxy "github.com/Shopify/toxiproxy"
	"github.com/sirupsen/logrus"

	"github.com/arbutusbank/arbutusbank/internal/dialer"
	"github.com/arbutusbank/arbutusbank/internal/fleet"
)

// Directions of a toxic on a link, relative to the host that dialled.
const (
	upstream   = "upstream"   // data that the host sends
	downstream = "downstream" // data that the host receives
)

// links holds one fault-injecting proxy for each host and address that the host
// connects to.
type links struct {
	t *testing.T

	mu      sync.Mutex
	proxies map[string]map[string]*toxiproxy.Proxy // by host and target
}

func newLinks(t *testing.T) *links {
	logrus.SetOutput(io.Discard) // the proxy logs every connection
	return &links{t: t, proxies: map[string]map[string]*toxiproxy.Proxy{}}
}

// addProxies replaces each address in the host's settings by that of a new proxy.
func (l *links) addProxies(spec fleet.HostSpec) fleet.HostSpec {
	mapped := dialer.Map{}
	for target, via := range spec.Settings.AddressMap {
		mapped[target] = l.addProxy(spec.Settings.Host, target, via)
	}
	for i, target := range spec.Settings.BootstrapPeers {
		if _, ok := mapped[target]; !ok {
			mapped[target] = l.addProxy(spec.Settings.Host, target, target)
		}
		spec.Settings.BootstrapPeers[i] = target
	}
	spec.Settings.Platform = l.addProxy(spec.Settings.Host, platformTarget, spec.Settings.Platform)
	spec.Settings.AddressMap = mapped
	return spec
}

// platformTarget is the target name of the platform.
const platformTarget = "platform"

func (l *links) addProxy(host, target, via string) string {
	proxy := toxiproxy.NewProxy()
	proxy.Name = host + ">" + target
	proxy.Listen = "127.0.0.1:0"
	proxy.Upstream = via
	if err := proxy.Start(); err != nil {
		l.t.Fatalf("start proxy: %v", err)
	}
	l.t.Cleanup(proxy.Stop)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.proxies[host] == nil {
		l.proxies[host] = map[string]*toxiproxy.Proxy{}
	}
	l.proxies[host][target] = proxy
	return proxy.Listen
}

// toxic is a fault of a link, named as in toxiproxy's API.
type toxic struct {
	kind       string
	attributes string // JSON object
	directions []string
}

var bothDirections = []string{upstream, downstream}

// Toxics that the fault cases use.
var (
	// blockBoth stops all data while connections stay established.
	blockBoth = toxic{"timeout", `{"timeout": 0}`, bothDirections}
	// blockDownstream stops the data that the host receives, blockUpstream the
	// data that it sends.
	blockDownstream = toxic{"timeout", `{"timeout": 0}`, []string{downstream}}
	blockUpstream   = toxic{"timeout", `{"timeout": 0}`, []string{upstream}}
	// highLatency adds 150 ms with 100 ms of jitter; lowBandwidth limits a link
	// to 2 KB/s.
	highLatency  = toxic{"latency", `{"latency": 150, "jitter": 100}`, bothDirections}
	lowBandwidth = toxic{"bandwidth", `{"rate": 2}`, bothDirections}
)

// apply adds a toxic to the links from the selected hosts to the selected
// targets. It returns a function that removes the toxic.
func (l *links) apply(tox toxic, hosts func(host string) bool, targets func(target string) bool) (remove func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var chosen []*toxiproxy.Proxy
	for host, byTarget := range l.proxies {
		for target, proxy := range byTarget {
			if hosts(host) && targets(target) {
				chosen = append(chosen, proxy)
			}
		}
	}
	var names []string
	for _, direction := range tox.directions {
		name := fmt.Sprintf("%s-%s-%p", tox.kind, direction, &chosen)
		names = append(names, name)
		for _, proxy := range chosen {
			body := fmt.Sprintf(`{"name": %q, "type": %q, "stream": %q, "toxicity": 1, "attributes": %s}`, name, tox.kind, direction, tox.attributes)
			if _, err := proxy.Toxics.AddToxicJson(strings.NewReader(body)); err != nil {
				l.t.Errorf("add %s: %v", name, err)
			}
		}
	}
	return func() {
		for _, name := range names {
			for _, proxy := range chosen {
				_ = proxy.Toxics.RemoveToxic(name) // missing only if adding it failed, which was reported
			}
		}
	}
}

// reset closes all connections of the selected links; new connections succeed.
func (l *links) reset(hosts func(host string) bool, targets func(target string) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for host, byTarget := range l.proxies {
		for target, proxy := range byTarget {
			if !hosts(host) || !targets(target) {
				continue
			}
			proxy.Stop()
			if err := proxy.Start(); err != nil {
				l.t.Errorf("restart proxy: %v", err)
			}
		}
	}
}
