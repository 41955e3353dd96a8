package edge

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/core/backends"
	"oleandershunt.example/oleandershunt/internal/core/history"
	"oleandershunt.example/oleandershunt/internal/core/routes"
	objects "oleandershunt.example/oleandershunt/internal/platform"
	"oleandershunt.example/oleandershunt/internal/relay"
)

// jsonDecoder decodes servers as they are, and no routes.
type jsonDecoder struct{}

func (jsonDecoder) Routes(json.RawMessage) (*routes.Table, error) { return nil, nil }

func (jsonDecoder) Server(id string, value json.RawMessage) (backends.Server, error) {
	server := backends.Server{ID: id}
	return server, json.Unmarshal(value, &server)
}

// Guards against servers that are used although their entries are missing, without a line in the log.
func TestMissingEntriesAreLogged(t *testing.T) {
	g := NewWithT(t)
	var lines []string
	log := funcr.New(func(_, args string) { lines = append(lines, args) }, funcr.Options{})
	l := newServerList(Options{Log: log, Decode: jsonDecoder{}}, relay.NewDispatcher(func() time.Duration { return time.Minute }, nil), func(backends.Server) {})
	entry := func(name string, version history.Version) objects.Object {
		return objects.Object{Name: name, Version: version, Value: []byte(`{"Service":"app","Address":"1:1"}`)}
	}
	g.Expect(l.HandleList(objects.List{Version: 2, Items: []objects.Object{entry("s1", 1)}})).To(Succeed())
	l.HandleError(objects.ErrUnavailable)
	g.Expect(l.HandleList(objects.List{Version: 3})).To(Succeed())
	g.Expect(lines).To(ContainElement(And(ContainSubstring(`"event"=6109`), ContainSubstring(`"server"="s1"`))))
	g.Expect(l.HandleEvent(objects.WatchEvent{Object: entry("s1", 4)})).To(Succeed())
	g.Expect(lines).To(ContainElement(And(ContainSubstring(`"event"=6110`), ContainSubstring(`"outcome"="returned"`))))
	g.Expect(lines).To(ContainElement(And(ContainSubstring(`"event"=6101`), ContainSubstring(`"from"="platform"`))))
}
