package trace

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/rotisserie/eris"

	"oleandershunt.example/oleandershunt/internal/core"
)

// maxLineBytes bounds a line. The longest lines hold a whole configuration.
const maxLineBytes = 64 << 20

// ErrBroken marks a file that is not a trace. Its message names the line.
var ErrBroken = eris.New("trace file is broken: correct the line named, or record it again")

// Read reads a whole trace. An error wraps ErrBroken and names the line.
func Read(in io.Reader) (*Trace, error) {
	t := &Trace{}
	lines := bufio.NewScanner(in)
	lines.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	number := 0
	for lines.Scan() {
		number++
		if err := t.readLine(number, lines.Bytes()); err != nil {
			return nil, broken(number, err)
		}
	}
	if err := lines.Err(); err != nil {
		return nil, broken(number+1, err)
	}
	if number == 0 {
		return nil, broken(1, errors.New("no head: the file is empty"))
	}
	return t, nil
}

func broken(number int, err error) error {
	return fmt.Errorf("%w: line %d: %w", ErrBroken, number, err)
}

func (t *Trace) readLine(number int, data []byte) error {
	l, err := decodeLine(data)
	if err != nil {
		return err
	}
	if (l.Head != nil) != (number == 1) {
		return errors.New("a trace has one head, in its first line")
	}
	switch {
	case t.DigestLine != 0:
		return errors.New("nothing may follow the digest")
	case l.Head != nil:
		return t.readHead(*l.Head)
	case l.Outcome != nil:
		t.Outcomes = append(t.Outcomes, Stated{Line: number, Outcome: *l.Outcome})
		return l.Outcome.check()
	case l.Digest != nil:
		t.Digest, t.DigestLine = l.Digest, number
		return nil
	default:
		return t.readStep(Step{Line: number, Event: l.Event, Frame: l.Frame, Restart: l.Restart})
	}
}

// decodeLine reads one line, of which exactly one field is set.
func decodeLine(data []byte) (line, error) {
	var l line
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&l); err != nil {
		return l, fmt.Errorf("not a line of a trace: %w", err)
	}
	if decoder.More() {
		return l, errors.New("more than one value")
	}
	set := []bool{l.Head != nil, l.Event != nil, l.Frame != nil, l.Restart != nil, l.Outcome != nil, l.Digest != nil}
	if count(set) != 1 {
		return l, fmt.Errorf("%d of head, event, frame, restart, outcome and digest are set, want one", count(set))
	}
	return l, nil
}

func count(set []bool) int {
	n := 0
	for _, isSet := range set {
		if isSet {
			n++
		}
	}
	return n
}

func (t *Trace) readHead(head Head) error {
	t.Head = head
	if head.Version != FormatVersion {
		return fmt.Errorf("format version %d, this program reads %d: use the program that wrote the trace", head.Version, FormatVersion)
	}
	if len(head.VMs) == 0 {
		return errors.New("head names no VM")
	}
	names := make(map[string]bool)
	for _, vm := range head.VMs {
		if vm.Name == "" || names[vm.Name] {
			return fmt.Errorf("VM name %q is empty or stands twice", vm.Name)
		}
		names[vm.Name] = true
	}
	return nil
}

func (t *Trace) readStep(step Step) error {
	vm := step.vm()
	if !t.has(vm) {
		return fmt.Errorf("VM %q is not in the head", vm)
	}
	if step.Event != nil {
		event, err := core.DecodeEvent(step.Event.Name, step.Event.Body)
		if err != nil {
			return err
		}
		if e, ok := event.(core.ConfigInForce); ok && e.Set == nil {
			return errors.New("config_in_force has no set")
		}
		step.decoded = event
	}
	if step.Frame != nil {
		if err := step.Frame.Frame.Check(); err != nil {
			return err
		}
	}
	t.Steps = append(t.Steps, step)
	return nil
}

func (t *Trace) has(name string) bool {
	for _, vm := range t.Head.VMs {
		if vm.Name == name {
			return true
		}
	}
	return false
}

func (s Step) vm() string {
	switch {
	case s.Event != nil:
		return s.Event.VM
	case s.Frame != nil:
		return s.Frame.VM
	default:
		return s.Restart.VM
	}
}

func (o Outcome) check() error {
	set := []bool{o.Request != nil, o.Key != nil, o.Server != nil, o.VM != nil}
	if count(set) != 1 {
		return fmt.Errorf("%d of request, key, server and vm are set, want one", count(set))
	}
	if o.Request != nil && (o.Request.Answer == AnswerRefused) != (o.Request.Refusal != nil) {
		return errors.New("a refusal is stated if and only if the answer is refused")
	}
	return nil
}

// Write writes a whole trace.
func (t *Trace) Write(out io.Writer) error {
	buffered := bufio.NewWriter(out)
	encoder := json.NewEncoder(buffered)
	encoder.SetEscapeHTML(false)
	lines := []line{{Head: &t.Head}}
	for _, step := range t.Steps {
		lines = append(lines, line{Event: step.Event, Frame: step.Frame, Restart: step.Restart})
	}
	for _, stated := range t.Outcomes {
		lines = append(lines, line{Outcome: &stated.Outcome})
	}
	if t.Digest != nil {
		lines = append(lines, line{Digest: t.Digest})
	}
	for _, l := range lines {
		if err := encoder.Encode(l); err != nil {
			return err
		}
	}
	return buffered.Flush()
}
