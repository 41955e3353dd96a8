package main

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"
)

// runnerOptions describe a plain backend server that runs as a process of its own.
type runnerOptions struct {
	id, service, zone, address, store, log string
	slots                                  int
	work                                   time.Duration
	// unframed is the share of the answers that have no length and end with their channel, from
	// unframedLead before each of the moments that follow one another from first on, for unframedFor.
	unframed float64
	first    int64
	// bodyBytes is the length of an answer's body. half of it is sent when a third of the work is
	// done, and the rest at the end.
	bodyBytes int
}

// uploadWork is the work of a request of uploadPrefix.
const uploadWork = 400 * time.Millisecond

func runRunner(arguments []string) error {
	var o runnerOptions
	flags := flag.NewFlagSet("runner", flag.ExitOnError)
	flags.StringVar(&o.id, "id", "", "")
	flags.StringVar(&o.service, "service", "", "")
	flags.StringVar(&o.zone, "zone", "", "")
	flags.StringVar(&o.address, "address", "", "")
	flags.StringVar(&o.store, "store", "", "")
	flags.StringVar(&o.log, "log", "", "")
	flags.IntVar(&o.slots, "slots", 96, "")
	flags.DurationVar(&o.work, "work", 600*time.Millisecond, "")
	flags.Float64Var(&o.unframed, "unframed", 0, "")
	flags.Int64Var(&o.first, "first", 0, "")
	flags.IntVar(&o.bodyBytes, "body", 800, "")
	_ = flags.Parse(arguments)
	// Written without a buffer, so that a killed process has written all that it ran.
	log, err := os.OpenFile(o.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", o.address)
	if err != nil {
		return err
	}
	go o.beat()
	slots := make(chan struct{}, o.slots)
	handler := http.NewServeMux()
	handler.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("X-Instance-Id", o.id) })
	handler.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) { o.serve(w, r, slots, log) })
	return http.Serve(listener, handler)
}

// beat registers the server in the platform's store.
func (o *runnerOptions) beat() {
	for n := 1; ; n++ {
		entry, _ := json.Marshal(map[string]any{
			"service": o.service, "address": o.address, "zone": o.zone, "version": "v1", "slots": o.slots, "state": "ready", "coldRemainingMs": 0, "sequence": n,
		})
		response, err := http.Post("http://"+o.store+"/beat/"+o.id, "application/json", bytes.NewReader(entry))
		if err == nil {
			_ = response.Body.Close()
		}
		time.Sleep(heartbeat)
	}
}

// wholeBody is the body of the answer to a request.
func wholeBody(id string, length int) []byte {
	return []byte((id + ":" + strings.Repeat("0123456789", length/10+1))[:length])
}

func (o *runnerOptions) serve(w http.ResponseWriter, r *http.Request, slots chan struct{}, log *os.File) {
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if r.Header.Get("X-Expect-Instance") != o.id {
		w.Header().Set("X-Instance-Id", o.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return // the request isn't whole
	}
	select {
	case slots <- struct{}{}:
		defer func() { <-slots }()
	default:
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body := wholeBody(id, o.bodyBytes)
	unframed := rand.Float64() < o.unframed && o.garbles(time.Now())
	_, _ = fmt.Fprintf(log, "%d run %s unframed=%t\n", time.Now().UnixNano(), id, unframed)
	work := o.work
	if strings.HasPrefix(r.URL.Path, uploadPrefix) {
		work = uploadWork
	}
	if !sleepFor(r, work/3) {
		return
	}
	w.Header().Set("X-Response-Seal", o.id+".600."+strconv.Itoa(len(body)))
	if unframed {
		w.Header().Set("Transfer-Encoding", "identity") // no length: the answer ends with its channel
	} else {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	if _, err := w.Write(body[:len(body)/2]); err != nil || http.NewResponseController(w).Flush() != nil || !sleepFor(r, work-work/3) {
		return
	}
	_, _ = w.Write(body[len(body)/2:])
	_, _ = fmt.Fprintf(log, "%d done %s bytes=%d\n", time.Now().UnixNano(), id, len(body))
}

// garbles reports whether some of the answers have no length now.
func (o *runnerOptions) garbles(now time.Time) bool {
	since := now.Add(unframedLead).Sub(time.Unix(0, o.first))
	return since >= 0 && since%crashEvery < unframedFor
}

func sleepFor(r *http.Request, span time.Duration) bool {
	select {
	case <-time.After(span):
		return true
	case <-r.Context().Done():
		return false
	}
}
