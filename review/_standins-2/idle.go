package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"
)

func init() { cases["idle-channels"] = idleChannels }

const (
	// newClients is how many clients a second come, as many as kademe-izmir has requests a second. Each opens a
	// channel, sends a request, and keeps the channel until the machine closes it.
	newClients = 90
	idleLength = 45 * time.Second
	// tryingClients is how many clients have to try in vain for the rule to be broken.
	tryingClients = 7
)

// channel is one client's channel to a machine.
type channel struct {
	conn   net.Conn
	reader *bufio.Reader
}

func openChannel(address string) (*channel, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &channel{conn, bufio.NewReader(conn)}, nil
}

// ask sends a request and reads the whole answer.
func (c *channel) ask(id string) (status int, err error) {
	body := `{"n":"` + id + `"}`
	_ = c.conn.SetDeadline(time.Now().Add(4 * time.Second))
	text := "POST /status/2f HTTP/1.1\r\nHost: " + host + "\r\nX-Request-Id: " + id + "\r\nX-Deadline-Ms: 3000\r\nX-Api-Key: " + apiKey +
		fmt.Sprintf("\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	if _, err := io.WriteString(c.conn, text); err != nil {
		return 0, err
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, err = io.ReadAll(response.Body)
	return response.StatusCode, err
}

// keep holds the channel until the machine closes it.
func (c *channel) keep() {
	_ = c.conn.SetDeadline(time.Time{})
	_, _ = c.reader.ReadByte()
	_ = c.conn.Close()
}

// tried is a client's try at a machine.
type tried struct {
	at    time.Time
	taken bool
}

// idleChannels loses all machines but one, so that new clients come to that one.
func idleChannels(w *world, trouble bool) (bool, error) {
	if err := w.prepare(kademeGrown, "bornova", "karsiyaka", "gaziemir", "bornova", "karsiyaka", "gaziemir"); err != nil {
		return false, err
	}
	app, err := newRunners(w, "candidate-portal", "bornova", "karsiyaka", "gaziemir")
	if err != nil {
		return false, err
	}
	defer app.close()
	app.work = func(*runner, *http.Request, []byte, *arrival) (int, bool) {
		time.Sleep(15 * time.Millisecond)
		return http.StatusOK, false
	}
	w.configure(1, []map[string]any{route("status-page", "/status/", "unsafe", "candidate-portal", nil)},
		[]map[string]any{{"name": "candidate-portal", "healthPath": "/health", "maxConnections": 570}}, oneTenant())
	if err := w.startVMs(15 * time.Second); err != nil {
		return false, err
	}
	left := w.vms[0]
	var mu sync.Mutex
	var tries []tried
	var unready []time.Time
	var wait sync.WaitGroup
	start := time.Now()
	wait.Go(func() {
		for time.Since(start) < idleLength {
			ready := left.isReady()
			w.line("%s says that it is ready: %t", left.name, ready)
			if !ready {
				mu.Lock()
				unready = append(unready, time.Now())
				mu.Unlock()
			}
			time.Sleep(time.Second)
		}
	})
	inUse := w.vms
	for i, sent := 0, 0; time.Since(start) < idleLength; i++ {
		if trouble && len(inUse) > 1 && time.Since(start) > 4*time.Second {
			w.line("all machines but %s are lost", left.name)
			for _, v := range w.vms[1:] {
				v.signal(syscall.SIGKILL)
			}
			inUse = w.vms[:1]
		}
		for ; sent < int(time.Since(start).Seconds()*newClients); sent++ {
			v, id := inUse[sent%len(inUse)], nextID("0")
			wait.Go(func() {
				at, status := time.Now(), 0
				c, err := openChannel(v.front)
				if err == nil {
					if status, err = c.ask(id); err == nil {
						go c.keep()
					} else {
						_ = c.conn.Close()
					}
				}
				w.line("client: %s at %s on a new channel: %d %v", id, v.name, status, err)
				if v == left {
					mu.Lock()
					defer mu.Unlock()
					tries = append(tries, tried{at, err == nil})
				}
			})
		}
		time.Sleep(5 * time.Millisecond)
	}
	wait.Wait()
	longest, clients := vain(tries, unready)
	w.summary("%s said that it was ready and took no new channel for %.1f s on end, while %d clients tried; contactMs is %d", left.name, longest.Seconds(), clients, w.site.contact.Milliseconds())
	return longest <= w.site.contact || clients < tryingClients, nil
}

// vain returns the longest time from one try to another in which no channel was taken and the machine never said
// that it isn't ready, and how many clients tried in it.
func vain(tries []tried, unready []time.Time) (longest time.Duration, clients int) {
	slices.SortFunc(tries, func(a, b tried) int { return a.at.Compare(b.at) })
	for i := 0; i < len(tries); i++ {
		j := i
		for j < len(tries) && !tries[j].taken {
			j++
		}
		if j == i {
			continue
		}
		from, to := tries[i].at, tries[j-1].at
		said := slices.ContainsFunc(unready, func(at time.Time) bool { return !at.Before(from) && !at.After(to) })
		if span := to.Sub(from); span > longest && !said {
			longest, clients = span, j-i
		}
		i = j
	}
	return longest, clients
}
