package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"
)

// maxBody bounds a refusal's body.
const maxBody = 64 << 10

// headerRequestID carries the id that the VM gave the request.
const headerRequestID = "Request-Id"

// The kinds of outcome, besides the reasons of refusals.
const (
	kindAnswered = "answered"
	kindWrong    = "wrong_answer"
	kindCut      = "cut_off"
	kindNotSent  = "not_sent"
	kindFailed   = "no_connection"
	kindUnclear  = "unclear_refusal"
)

// outcome is what came of one request.
type outcome struct {
	kind      string
	execution string
	// first is the time from the arrival's due time to the first token.
	first time.Duration
	gaps  []time.Duration
	// tokens is the number of events with text.
	tokens int
	// request is the id that the VM gave it, and times are those of its tokens.
	request string
	times   []time.Time
	detail  string
}

// request makes one streamed completion. Times count from when it was due, so
// that a late start counts against the system.
func (r *runner) request(ctx context.Context, n int, due time.Time) outcome {
	ctx, cancel := context.WithTimeout(ctx, r.options.Timeout)
	defer cancel()
	prompt := r.prompt(n)
	response, err := r.send(ctx, n, prompt)
	if err != nil {
		return outcome{kind: kindFailed, detail: err.Error()}
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return refused(response.Body)
	}
	got, text := readStream(response.Body, due)
	got.request = response.Header.Get(headerRequestID)
	if got.kind == kindAnswered && r.options.Verifier != nil {
		if err := r.options.Verifier.Verify(prompt, text, r.options.Tokens); err != nil {
			got.kind, got.detail = kindWrong, err.Error()
		}
	}
	return got
}

func (r *runner) send(ctx context.Context, n int, prompt string) (*http.Response, error) {
	body, err := json.Marshal(map[string]any{
		"model": r.options.Pipeline, "prompt": prompt, "max_tokens": r.options.Tokens, "stream": true,
	})
	if err != nil {
		return nil, err
	}
	url := "http://" + r.options.Addresses[n%len(r.options.Addresses)] + "/v1/completions"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+r.options.Key)
	request.Header.Set("Content-Type", "application/json")
	return r.client.Do(request)
}

// problem is the part of a refusal that is counted.
type problem struct {
	Reason    string `json:"reason"`
	Execution string `json:"execution"`
	Detail    string `json:"detail"`
}

func refused(body io.Reader) outcome {
	var p problem
	err := json.NewDecoder(io.LimitReader(body, maxBody)).Decode(&p)
	if err != nil || p.Reason == "" {
		return outcome{kind: kindUnclear}
	}
	return outcome{kind: p.Reason, execution: p.Execution, detail: p.Detail}
}

// readStream reads events until the end. A stream without its closing line is cut off.
func readStream(in io.Reader, due time.Time) (outcome, string) {
	var got outcome
	var text strings.Builder
	last := due
	failed := false
	lines := bufio.NewReader(in)
	for {
		line, err := lines.ReadString('\n')
		if err != nil {
			got.kind = kindCut
			return got, text.String()
		}
		line = strings.TrimSuffix(line, "\n")
		failed = failed || line == "event: error"
		data, ok := strings.CutPrefix(line, "data: ")
		switch {
		case !ok:
		case failed:
			end := refused(strings.NewReader(data))
			got.kind, got.execution, got.detail = end.kind, end.execution, end.detail
			return got, text.String()
		case data == "[DONE]":
			got.kind = kindAnswered
			return got, text.String()
		default:
			part := eventText(data)
			if part == "" {
				continue
			}
			text.WriteString(part)
			now := time.Now()
			got.token(now.Sub(last))
			got.times = append(got.times, now)
			last = now
		}
	}
}

func (o *outcome) token(gap time.Duration) {
	if o.tokens == 0 {
		o.first = gap
	} else {
		o.gaps = append(o.gaps, gap)
	}
	o.tokens++
}

func eventText(data string) string {
	var chunk struct {
		Choices []struct {
			Text string `json:"text"`
		} `json:"choices"`
	}
	if json.Unmarshal([]byte(data), &chunk) != nil || len(chunk.Choices) == 0 {
		return ""
	}
	return chunk.Choices[0].Text
}
