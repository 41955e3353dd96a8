package edge

import (
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/oklog/run"

	"oleandershunt.example/oleandershunt/internal/actors"
	"oleandershunt.example/oleandershunt/internal/relay"
)

// Limits of the HTTP servers. The timeouts are above the configured ones, which callers
// keep to.
const (
	headerTimeout  = 5 * time.Second
	idleTimeout    = 60 * time.Second
	maxHeaderBytes = 32 << 10
	// stallTimeout is how long a stream may be silent before its path is checked. Events
	// come 20 to 50 ms apart; callers give up after 2 s.
	stallTimeout = 450 * time.Millisecond
)

// addServers adds the servers for callers, the load balancer's health checks and metrics
// to the group.
func addServers(group *run.Group, p Parts, handler *relay.Handler, config *configReader, stop *stopper) error {
	callers := &http.Server{
		Handler:           stop.closeConnections(handler),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	stop.callers = callers
	if err := listen(group, callers, p.Settings.Callers); err != nil {
		return err
	}
	ready := http.NewServeMux()
	ready.HandleFunc("GET "+p.HealthPath, func(w http.ResponseWriter, _ *http.Request) {
		if stop.stopping() || !config.proven() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	balancer := &http.Server{Handler: ready, ReadHeaderTimeout: headerTimeout}
	if err := listen(group, balancer, p.Settings.Ready); err != nil {
		return err
	}
	if p.Settings.OperationsPort == 0 {
		return nil
	}
	operations := &http.Server{Handler: metricsHandler(), ReadHeaderTimeout: headerTimeout}
	address := net.JoinHostPort(p.Settings.Host, strconv.Itoa(p.Settings.OperationsPort))
	return listen(group, operations, address)
}

func metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) })
	return mux
}

// listen adds a server on an address to the group.
func listen(group *run.Group, server *http.Server, address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	actors.AddServer(group, listener, server)
	return nil
}
