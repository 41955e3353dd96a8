package trace

import (
	"bytes"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/api"
	"oleandershunt.example/oleandershunt/internal/core"
	"oleandershunt.example/oleandershunt/internal/core/config"
	"oleandershunt.example/oleandershunt/internal/engine"
)

const headLine = `{"head":{"version":1,"vms":[{"name":"vm-1","options":{"dataCentre":"bornova","policy":"random","seed":1,"maxAttempts":4}}]}}`

// Symptom: an operator's replay ends with "unexpected end of JSON input" and no
// hint where. Sequence: a trace is cut off, edited by hand or of another
// version. Cause: an error without the line's number.
func TestBrokenFileNamesItsLine(t *testing.T) {
	cases := map[string]struct{ text, want string }{
		"empty":            {"", "line 1: no head"},
		"not JSON":         {headLine + "\nnonsense", "line 2: not a line of a trace"},
		"cut off":          {headLine + "\n" + `{"event":{"vm":"vm-1","at":`, "line 2: not a line of a trace"},
		"other version":    {`{"head":{"version":9,"vms":[]}}`, "line 1: format version 9, this program reads 1"},
		"no head":          {`{"restart":{"vm":"vm-1","offset":1}}`, "line 1: a trace has one head"},
		"second head":      {headLine + "\n" + headLine, "line 2: a trace has one head"},
		"VM twice":         {strings.Replace(headLine, `"vms":[`, `"vms":[{"name":"vm-1","options":{}},`, 1), "line 1: VM name \"vm-1\""},
		"foreign VM":       {headLine + "\n" + `{"restart":{"vm":"vm-9","offset":1}}`, "line 2: VM \"vm-9\" is not in the head"},
		"unknown event":    {headLine + "\n\n", "line 2: not a line of a trace"},
		"unknown name":     {headLine + "\n" + `{"event":{"vm":"vm-1","at":1,"name":"x","body":{}}}`, "message name is not known"},
		"unknown field":    {headLine + "\n" + `{"event":{"vm":"vm-1","at":1,"name":"caller_gone","body":{"x":1}}}`, "line 2: "},
		"two in one":       {headLine + "\n" + `{"restart":{"vm":"vm-1","offset":1},"digest":{"a":"b"}}`, "line 2: 2 of head"},
		"empty outcome":    {headLine + "\n" + `{"outcome":{}}`, "line 2: 0 of request, key"},
		"refusal missing":  {headLine + "\n" + `{"outcome":{"request":{"vm":"vm-1","request":"r","executions":0,"answer":"refused"}}}`, "line 2: a refusal is stated"},
		"after the digest": {headLine + "\n" + `{"digest":{"vm-1":"0"}}` + "\n" + `{"digest":{"vm-1":"0"}}`, "line 3: nothing may follow"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := Read(strings.NewReader(c.text))
			NewWithT(t).Expect(err).To(And(MatchError(ErrBroken), MatchError(ContainSubstring(c.want))))
		})
	}
}

func FuzzRead(f *testing.F) {
	f.Add([]byte(headLine))
	f.Add([]byte(headLine + "\n" + `{"event":{"vm":"vm-1","at":1,"name":"request_arrived","body":{"request":"r"}}}`))
	f.Add([]byte(headLine + "\n" + `{"frame":{"vm":"vm-1","at":1,"request":"r","attempt":1,"frame":{"token":{"index":0}}}}`))
	f.Add([]byte(headLine + "\n" + `{"event":{"vm":"vm-1","at":1,"name":"config_in_force","body":{"set":null}}}`))
	f.Add([]byte(headLine + "\n" + `{"outcome":{"key":{"account":"a","key":"k","executions":1}}}` + "\n" + `{"digest":{"vm-1":"0"}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		read, err := Read(bytes.NewReader(data))
		if err != nil {
			return
		}
		var out bytes.Buffer
		g := NewWithT(t)
		g.Expect(read.Write(&out)).To(Succeed())
		again, err := Read(&out)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(again.Outcomes).To(HaveLen(len(read.Outcomes)))
		first, second := Replay(read), Replay(read)
		g.Expect(second.Digest).To(Equal(first.Digest))
		g.Expect(second.Compare(read)).To(Equal(first.Compare(read)))
	})
}

// Symptom: a recording grows until the VM has no memory, or an incident's
// recording refuses every request on replay. Sequence: a VM records for days.
// Cause: lines are kept without a bound, or the one configuration is dropped
// with the oldest lines.
func TestRecordingIsBoundedAndKeepsLastingFacts(t *testing.T) {
	g := NewWithT(t)
	const limit = 64 << 10
	recorder := NewRecorder(limit)
	tap := recorder.Tap("vm-1", core.Options{MaxAttempts: 4}, 0)
	set, err := config.Build(7, nil)
	g.Expect(err).NotTo(HaveOccurred())
	tap.Step(1, core.ConfigInForce{Set: set}, nil)
	for i := range 10_000 {
		tap.Step(core.Time(i), core.CallerDisconnected{Request: "r"}, nil)
		tap.Step(core.Time(i), core.ServerObserved{Server: "a", Witness: "vm-1", Running: i}, nil)
	}
	var out bytes.Buffer
	_, err = recorder.WriteTo(&out)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(out.Len()).To(BeNumerically("<", limit+4<<10))
	read, err := Read(&out)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(read.Head.Dropped).To(BeNumerically(">", 10_000))
	g.Expect(read.Steps[0].Event.Name).To(Equal("config_in_force"))
	g.Expect(read.DigestLine).To(BeZero(), "the digest of a whole recording says nothing of a part")
}

// keySum stands for the hash of an API key.
const keySum = "c0ffee00c0ffee00c0ffee00c0ffee00c0ffee00c0ffee00c0ffee00c0ffee00"

// Symptom: a recording handed to a stranger opens the API to him, or shows him
// a candidate's letter. Sequence: an incident is recorded and attached to a bug
// report. Cause: key hashes and texts are part of events and frames.
func TestRecordingHoldsNoSecrets(t *testing.T) {
	g := NewWithT(t)
	recorder := NewRecorder(0)
	tap := recorder.Tap("vm-1", core.Options{}, 0)
	set, err := config.Build(1, []api.Document{{
		Header: api.Header{Kind: api.KindClientAccount, SchemaVersion: api.SchemaV1, Name: "kademe"},
		Spec:   []byte(`{"keySHA256":["` + keySum + `"],"weight":2}`),
	}})
	g.Expect(err).NotTo(HaveOccurred())
	tap.Step(1, core.ConfigInForce{Set: set}, nil)
	tap.Frame(2, "r", 1, engine.Frame{Token: &engine.Token{Text: "a private word", ID: 9}})
	var out bytes.Buffer
	_, err = recorder.WriteTo(&out)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = Read(bytes.NewReader(out.Bytes()))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(out.String()).To(ContainSubstring(`"kademe"`))
	g.Expect(out.String()).NotTo(ContainSubstring(keySum))
	g.Expect(out.String()).NotTo(ContainSubstring("a private word"))
}

// BenchmarkRecordStep is what recording adds to each step of the core.
func BenchmarkRecordStep(b *testing.B) {
	tap := NewRecorder(0).Tap("vm-1", core.Options{}, 0)
	event := core.RequestArrived{Request: "4ab2c1de-0000", Account: "kademe", Pipeline: "scoring", Key: "key-000001"}
	actions := []core.Action{core.Dispatch{Request: event.Request, Attempt: 1, Model: "scorer", Version: "2026-11"}}
	b.ReportAllocs()
	for i := range b.N {
		tap.Step(core.Time(i), event, actions)
	}
}
