package core_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/api"
	"oleandershunt.example/oleandershunt/internal/core"
	"oleandershunt.example/oleandershunt/internal/core/config"
	"oleandershunt.example/oleandershunt/internal/core/request"
)

// Guards against refusing every request with no path during a version change: the
// new version must not be required before servers hold all its layers. One of two
// servers loads it first, then the other.
func TestEarlierVersionServesUntilNextIsComplete(t *testing.T) {
	g := NewWithT(t)
	m := core.New(core.Options{VM: "a", DataCentre: "d", MaxAttempts: 4})
	release := func(number uint64, version string) core.ConfigInForce {
		var documents []api.Document
		add := func(kind api.Kind, name, spec string) {
			header := api.Header{Kind: kind, SchemaVersion: api.SchemaV1, Name: name}
			documents = append(documents, api.Document{Header: header, Spec: []byte(spec)})
		}
		add(api.KindModel, "m", fmt.Sprintf(`{"layers":4,"version":%q}`, version))
		add(api.KindPipeline, "p", `{"model":"m","idempotent":true}`)
		add(api.KindBackendServer, "s1", `{"address":"10.0.0.1:1","dataCentre":"d","model":"m","layers":{"from":0,"to":2}}`)
		add(api.KindBackendServer, "s2", `{"address":"10.0.0.2:1","dataCentre":"d","model":"m","layers":{"from":2,"to":4}}`)
		add(api.KindBackendServer, "s3", `{"address":"10.0.0.3:1","dataCentre":"d","model":"m","layers":{"from":0,"to":4}}`)
		set, err := config.Build(number, documents)
		g.Expect(err).NotTo(HaveOccurred())
		return core.ConfigInForce{Set: set}
	}
	now := time.Duration(0)
	holds := func(server, version string, from, to int) {
		now += time.Millisecond
		m.Step(now, core.ServerObserved{Server: server, Incarnation: 1, Model: "m", Version: version, Layers: api.Layers{From: from, To: to}, Witness: "a"})
	}
	served := func(id request.ID) (version string) {
		now += time.Millisecond
		for _, action := range m.Step(now, core.RequestArrived{Request: id, Pipeline: "p", Idempotent: true, Deadline: now + time.Minute}) {
			if dispatch, ok := action.(core.Dispatch); ok {
				version = dispatch.Version
			}
		}
		return version
	}
	m.Step(now, release(1, "v1"))
	holds("s1", "v1", 0, 2)
	holds("s2", "v1", 2, 4)
	holds("s3", "v1", 0, 4)
	g.Expect(served("r1")).To(Equal("v1"))
	m.Step(now, release(2, "v2"))
	g.Expect(served("r2")).To(Equal("v1"))
	holds("s1", "v2", 0, 2)
	g.Expect(served("r3")).To(Equal("v1"))
	holds("s2", "v2", 2, 4)
	g.Expect(served("r4")).To(Equal("v2"))
}
