package standin

import (
	"context"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"golang.org/x/time/rate"
)

const pathWeights = "/standin/weights"

// Weights is where engines load layers from.
type Weights interface {
	// Fetch returns when a number of layers has been loaded.
	Fetch(ctx context.Context, layers int) error
}

// WeightStore is a stand-in for the store of weights. All engines share its rate.
type WeightStore struct {
	limiter *rate.Limiter
}

// NewWeightStore makes a store that gives a number of layers a second.
func NewWeightStore(layersPerSecond float64) *WeightStore {
	return &WeightStore{limiter: rate.NewLimiter(rate.Limit(layersPerSecond), 1)}
}

// Fetch implements Weights.
func (s *WeightStore) Fetch(ctx context.Context, layers int) error {
	for range layers {
		if err := s.limiter.Wait(ctx); err != nil {
			return err
		}
	}
	return nil
}

// ServeHTTP lets engines in other processes fetch: GET ?layers=N answers when
// the layers have been loaded.
func (s *WeightStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	layers, err := strconv.Atoi(r.URL.Query().Get("layers"))
	if err != nil || layers < 0 {
		http.Error(w, "layers is not a number of layers", http.StatusBadRequest)
		return
	}
	if err := s.Fetch(r.Context(), layers); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}

// StartWeightStore serves a store on a listener until the server is closed.
func StartWeightStore(listener net.Listener, store *WeightStore) *http.Server {
	mux := http.NewServeMux()
	mux.Handle("GET "+pathWeights, store)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }()
	return server
}

// RemoteWeights is a WeightStore in another process.
type RemoteWeights struct {
	// URL is the store's base URL.
	URL string
}

// Fetch implements Weights.
func (r RemoteWeights) Fetch(ctx context.Context, layers int) error {
	query := url.Values{"layers": {strconv.Itoa(layers)}}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, r.URL+pathWeights+"?"+query.Encode(), nil)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	return response.Body.Close()
}
