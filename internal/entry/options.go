package entry

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
	"unicode/utf8"
)

// completionRequest is what a caller asks of a pipeline.
type completionRequest struct {
	model     string
	prompt    string
	chat      bool
	maxTokens int
	stream    bool
	// usage asks for a last chunk with the token counts.
	usage   bool
	timeout time.Duration
}

// field reads one member of the body into the request. An error names what is
// expected of the value.
type field func(body *completionRequest, value json.RawMessage) error

// sharedFields are those of both kinds of completion. A member that would
// change the answer and can't be honoured is refused rather than ignored: a
// caller who set a seed or a stop sequence would get another answer than asked
// for, and never know.
var sharedFields = map[string]field{
	"model":                 func(b *completionRequest, v json.RawMessage) error { return read(v, &b.model, "a string") },
	"max_tokens":            readMaxTokens,
	"stream":                func(b *completionRequest, v json.RawMessage) error { return read(v, &b.stream, "true or false") },
	"stream_options":        readStreamOptions,
	"timeout":               readBodyTimeout,
	"n":                     neutral("1"),
	"best_of":               neutral("1"),
	"top_p":                 neutral("1", "1.0"),
	"temperature":           neutral("1", "1.0"),
	"frequency_penalty":     neutral("0", "0.0"),
	"presence_penalty":      neutral("0", "0.0"),
	"stop":                  neutral("[]"),
	"logit_bias":            neutral("{}"),
	"store":                 neutral("false"),
	"user":                  ignored,
	"metadata":              ignored,
	"safety_identifier":     ignored,
	"max_completion_tokens": readMaxTokens,
}

var completionFields = extend(map[string]field{
	"prompt":   readPrompt,
	"echo":     neutral("false"),
	"suffix":   neutral(`""`),
	"logprobs": neutral(),
})

var chatFields = extend(map[string]field{
	"messages":        readMessages,
	"logprobs":        neutral("false"),
	"top_logprobs":    neutral(),
	"tools":           neutral("[]"),
	"response_format": neutral(`{"type":"text"}`),
})

func extend(fields map[string]field) map[string]field {
	maps.Copy(fields, sharedFields)
	return fields
}

// parseCompletion reads the body of a completion strictly.
func parseCompletion(data []byte, chat bool) (completionRequest, error) {
	body := completionRequest{chat: chat}
	fields, input := completionFields, "prompt"
	if chat {
		fields, input = chatFields, "messages"
	}
	if !utf8.Valid(data) {
		return body, fmt.Errorf("body is not UTF-8: encode it so")
	}
	var members map[string]json.RawMessage
	if err := json.Unmarshal(data, &members); err != nil {
		return body, fmt.Errorf("body is not a JSON object: %w", err)
	}
	for _, name := range slices.Sorted(maps.Keys(members)) {
		set, ok := fields[name]
		if !ok {
			return body, fmt.Errorf("%q is not served here: leave it out", name)
		}
		value := members[name]
		if string(value) == "null" {
			continue
		}
		if err := set(&body, value); err != nil {
			return body, fmt.Errorf("%q %w", name, err)
		}
	}
	switch {
	case body.model == "":
		return body, fmt.Errorf(`"model" is missing: name one that GET /v1/models lists`)
	case body.prompt == "":
		return body, fmt.Errorf("%q is missing or empty: send the text to answer", input)
	}
	return body, nil
}

func read(value json.RawMessage, into any, want string) error {
	if err := json.Unmarshal(value, into); err != nil {
		return fmt.Errorf("is not %s: send %s", want, want)
	}
	return nil
}

// neutral accepts the values that don't change the answer.
func neutral(values ...string) field {
	return func(_ *completionRequest, value json.RawMessage) error {
		var compact bytes.Buffer
		if err := json.Compact(&compact, value); err != nil {
			return err
		}
		if slices.Contains(values, compact.String()) {
			return nil
		}
		if len(values) == 0 {
			return fmt.Errorf("is not served here: leave it out")
		}
		return fmt.Errorf("is not served with this value: leave it out or send %s", values[0])
	}
}

func ignored(*completionRequest, json.RawMessage) error { return nil }

func readMaxTokens(body *completionRequest, value json.RawMessage) error {
	var asked int
	if err := read(value, &asked, "a whole number"); err != nil {
		return err
	}
	if asked <= 0 {
		return fmt.Errorf("is not positive: send a positive number or leave it out")
	}
	if body.maxTokens > 0 {
		asked = min(asked, body.maxTokens)
	}
	body.maxTokens = asked
	return nil
}

func readStreamOptions(body *completionRequest, value json.RawMessage) error {
	var options struct {
		IncludeUsage *bool `json:"include_usage"`
	}
	decoder := json.NewDecoder(bytes.NewReader(value))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&options); err != nil {
		return fmt.Errorf(`is not {"include_usage": true or false}: send that or leave it out`)
	}
	body.usage = options.IncludeUsage != nil && *options.IncludeUsage
	return nil
}

func readBodyTimeout(body *completionRequest, value json.RawMessage) error {
	var seconds float64
	if err := read(value, &seconds, "a number of seconds"); err != nil {
		return err
	}
	if !validTimeout(seconds) {
		return fmt.Errorf("is not a positive number of seconds: send for example 2.5")
	}
	body.timeout = time.Duration(seconds * float64(time.Second))
	return nil
}

// readPrompt accepts a text, or a list with one text.
func readPrompt(body *completionRequest, value json.RawMessage) error {
	if json.Unmarshal(value, &body.prompt) == nil {
		return nil
	}
	var prompts []string
	if err := json.Unmarshal(value, &prompts); err != nil || len(prompts) != 1 {
		return fmt.Errorf("is not one text: send a string, and each prompt in a request of its own")
	}
	body.prompt = prompts[0]
	return nil
}

// chatMessage is one message of a chat, as it goes to the engines.
type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

var roles = []string{"system", "developer", "user", "assistant"}

// readMessages turns a chat into one JSON object a line. What a message says
// stays quoted, so that it can't pass for a message of another role.
func readMessages(body *completionRequest, value json.RawMessage) error {
	var messages []struct {
		Role    string          `json:"role"`
		Content json.RawMessage `json:"content"`
	}
	decoder := json.NewDecoder(bytes.NewReader(value))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&messages); err != nil {
		return fmt.Errorf("is not a list of messages with role and content: correct them (%w)", err)
	}
	var prompt strings.Builder
	encoder := json.NewEncoder(&prompt)
	for i, message := range messages {
		if !slices.Contains(roles, message.Role) {
			return fmt.Errorf("has role %q in message %d: use one of %v", message.Role, i, roles)
		}
		text, err := messageText(message.Content)
		if err != nil {
			return fmt.Errorf("has in message %d a content that is not text: send a string or parts of type text", i)
		}
		if err := encoder.Encode(chatMessage{Role: message.Role, Content: text}); err != nil {
			return err
		}
	}
	body.prompt = prompt.String()
	return nil
}

// messageText reads a content, which is a text or a list of parts of type text.
func messageText(content json.RawMessage) (string, error) {
	var text string
	if err := json.Unmarshal(content, &text); err == nil {
		return text, nil
	}
	var parts []struct {
		Type string `json:"type"`
		Text string `json:"text"`
	}
	decoder := json.NewDecoder(bytes.NewReader(content))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&parts); err != nil {
		return "", err
	}
	var all strings.Builder
	for _, part := range parts {
		if part.Type != "text" {
			return "", fmt.Errorf("part of type %q", part.Type)
		}
		all.WriteString(part.Text)
	}
	return all.String(), nil
}
