package dev

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"
)

const (
	readyTimeout  = 10 * time.Second
	readyInterval = 20 * time.Millisecond
	smokeTimeout  = 30 * time.Second
	smokeTokens   = 32
)

// ErrSmoke says that an answer was wrong.
var ErrSmoke = eris.New("smoke test failed: see the table")

// awaitReady waits until every VM tells the balancer that it serves.
func (d *Deployment) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, n := range d.Nodes {
		for !healthy(ctx, n.CallersAddress()) {
			select {
			case <-time.After(readyInterval):
			case <-ctx.Done():
				return eris.Errorf("VM at %s did not become ready in %v: read the log above", n.CallersAddress(), readyTimeout)
			}
		}
	}
	return nil
}

func healthy(ctx context.Context, address string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/healthz", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// CurlLine is a command that streams a completion from the first VM.
func (d *Deployment) CurlLine() string {
	return fmt.Sprintf(`curl -N http://%s/v1/completions -H 'Authorization: Bearer %s' -H 'Content-Type: application/json' -d '{"model":"%s","prompt":"score this cover letter","max_tokens":16,"stream":true}'`,
		d.Nodes[0].CallersAddress(), APIKey, d.Shape.Pipeline)
}

// Smoke sends requests through every VM, checks each answer token by token
// against the model and prints a table.
func (d *Deployment) Smoke(ctx context.Context, out io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, smokeTimeout)
	defer cancel()
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "VM\tREQUEST\tTOKENS\tRESULT")
	failed := false
	for i, n := range d.Nodes {
		vm := fmt.Sprintf("vm-%d", i+1)
		for _, streamed := range []bool{true, false} {
			prompt := fmt.Sprintf("letter %d for the panel, streamed %t", i, streamed)
			result := d.checkCompletion(ctx, n.CallersAddress(), prompt, streamed)
			failed = failed || result != nil
			fmt.Fprintf(table, "%s\tcompletion, streamed=%t\t%d\t%s\n", vm, streamed, smokeTokens, describe(result))
		}
		result := d.checkService(ctx, n.CallersAddress())
		failed = failed || result != nil
		fmt.Fprintf(table, "%s\tplain service\t-\t%s\n", vm, describe(result))
	}
	if err := table.Flush(); err != nil {
		return err
	}
	if failed {
		return ErrSmoke
	}
	return nil
}

func describe(err error) string {
	if err == nil {
		return "ok"
	}
	return "FAILED: " + err.Error()
}

func (d *Deployment) checkCompletion(ctx context.Context, address, prompt string, streamed bool) error {
	text, err := Complete(ctx, address, prompt, smokeTokens, streamed)
	if err != nil {
		return err
	}
	if want := d.Model.Text(prompt, smokeTokens); text != want {
		return eris.Errorf("answer is %q, want %q", text, want)
	}
	return nil
}

// Complete asks a VM for a completion and returns its text. A stream without
// its closing line is an error.
func Complete(ctx context.Context, address, prompt string, tokens int, streamed bool) (string, error) {
	body, err := json.Marshal(map[string]any{"model": Pipeline, "prompt": prompt, "max_tokens": tokens, "stream": streamed})
	if err != nil {
		return "", err
	}
	response, err := post(ctx, "http://"+address+"/v1/completions", body)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	if streamed {
		return ReadStream(response.Body)
	}
	return readChunk(response.Body)
}

func (d *Deployment) checkService(ctx context.Context, address string) error {
	response, err := post(ctx, "http://"+address+d.ServicePath()+"status", []byte("hello"))
	if err != nil {
		return err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if want := "POST " + d.ServicePath() + "status took hello\n"; string(text) != want {
		return eris.Errorf("answer is %q, want %q", text, want)
	}
	return nil
}

func post(ctx context.Context, url string, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+APIKey)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		defer response.Body.Close()
		message, _ := io.ReadAll(response.Body)
		return nil, eris.Errorf("status %d: %s", response.StatusCode, bytes.TrimSpace(message))
	}
	return response, nil
}

type chunk struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
}

func readChunk(in io.Reader) (string, error) {
	var c chunk
	if err := json.NewDecoder(in).Decode(&c); err != nil {
		return "", err
	}
	if len(c.Choices) != 1 {
		return "", eris.Errorf("answer has %d choices, want 1", len(c.Choices))
	}
	return c.Choices[0].Text, nil
}

// ReadStream reads the text of a streamed completion. A stream without its closing
// line is an error.
func ReadStream(in io.Reader) (string, error) {
	var text strings.Builder
	lines := bufio.NewScanner(in)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return text.String(), nil
		}
		part, err := readChunk(strings.NewReader(data))
		if err != nil {
			return "", eris.Wrapf(err, "event %s", data)
		}
		text.WriteString(part)
	}
	return "", eris.New("stream ended without its closing line")
}
