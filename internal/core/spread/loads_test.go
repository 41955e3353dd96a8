package spread_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/api"
	"oleandershunt.example/oleandershunt/internal/core/routes"
	"oleandershunt.example/oleandershunt/internal/core/spread"
)

// loadSimulation simulates, in virtual time, data centres whose servers load weights from one
// shared store. Up to atOnce loads run at full speed; more slow each other down.
type loadSimulation struct {
	engine      *routes.Engine
	dataCentres [][]spread.Server
	remaining   map[string]time.Duration // load time left at full speed, by server ID
	atOnce      int
	limited     bool
}

const tickInterval = 200 * time.Millisecond

// tick makes each data centre plan once and advances the running loads.
func (s *loadSimulation) tick() {
	for at, servers := range s.dataCentres {
		var loads spread.LoadLimit
		if s.limited {
			loads = s.loads(at)
		}
		for _, order := range loads.Admit(s.engine, servers, spread.Plan(s.engine, servers)) {
			i := slices.IndexFunc(servers, func(server spread.Server) bool { return server.ID == order.Server })
			kept := servers[i].Held.Overlap(order.Layers)
			s.remaining[order.Server] = s.engine.LoadTimeFor(order.Layers.Len() - kept.Len())
			servers[i].Loading, servers[i].Target, servers[i].Held = true, order.Layers, kept
		}
	}
	s.advance()
}

// advance progresses the running loads by one tick.
func (s *loadSimulation) advance() {
	step := tickInterval * time.Duration(min(s.atOnce, len(s.remaining))) / time.Duration(max(len(s.remaining), 1))
	for _, servers := range s.dataCentres {
		for i := range servers {
			remaining, ok := s.remaining[servers[i].ID]
			if !ok {
				continue
			}
			if s.remaining[servers[i].ID] = remaining - step; remaining <= step {
				delete(s.remaining, servers[i].ID)
				servers[i].Loading, servers[i].Held = false, servers[i].Target
			}
		}
	}
}

func (s *loadSimulation) loads(at int) spread.LoadLimit {
	empty := 0
	var elsewhere []spread.Server
	for other, servers := range s.dataCentres {
		if other == at {
			continue
		}
		for _, server := range servers {
			elsewhere = append(elsewhere, server)
			if server.Held.Len() == 0 {
				empty++
			}
		}
	}
	return spread.LoadLimit{MaxConcurrent: spread.LocalLoadLimit(s.atOnce, len(s.dataCentres), empty), RemoteCopies: spread.Copies(s.engine, elsewhere), Offset: at}
}

// run simulates the given time. covered is the time after which the data centres together can
// serve every layer, and each is the mean time after which a single data centre can.
func (s *loadSimulation) run(within time.Duration) (covered, each time.Duration) {
	coveredAt := make([]time.Duration, len(s.dataCentres))
	covered = within
	for now := time.Duration(0); now < within; now += tickInterval {
		s.tick()
		var all []spread.Server
		for at, servers := range s.dataCentres {
			all = append(all, servers...)
			if coveredAt[at] == 0 && spread.Covered(s.engine, servers) {
				coveredAt[at] = now
			}
		}
		if covered == within && spread.Covered(s.engine, all) {
			covered = now
		}
	}
	for _, at := range coveredAt {
		if at == 0 {
			at = within
		}
		each += at / time.Duration(len(coveredAt))
	}
	return covered, each
}

// emptied returns five data centres whose servers have all restarted and hold no layers.
func emptied(limited bool) *loadSimulation {
	card := routes.Card{MB: 32_000, Pace: 4, Read: 3}
	s := &loadSimulation{
		engine: &routes.Engine{
			Layers: 80, LayerMB: 1000, TokenBytes: 918_000, TypicalPrompt: 775, TypicalAnswer: 217, LoadTime: 14 * time.Second,
			Cards: map[string]routes.Card{"c": card},
		},
		remaining: make(map[string]time.Duration), atOnce: 3, limited: limited,
	}
	for dataCentre := range 5 {
		var servers []spread.Server
		for i := range 7 {
			servers = append(servers, spread.Server{ID: fmt.Sprintf("s%d-%d", dataCentre, i), Card: card})
		}
		s.dataCentres = append(s.dataCentres, servers)
	}
	return s
}

// Guards against unlimited concurrent loads: when several data centres are missing layers at
// once, 20 or more loads run where 3 run at full speed, and all of them complete only at the
// very end. Nothing is served for ten seconds although enough servers remain.
func TestLoadLimitShortensTimeToFirstCompleteCopy(t *testing.T) {
	g := NewWithT(t)
	const within = 3 * time.Minute
	unlimited, unlimitedEach := emptied(false).run(within)
	limited, limitedEach := emptied(true).run(within)
	t.Logf("all layers covered after %s, in each data centre after %s; without a limit after %s, %s", limited, limitedEach, unlimited, unlimitedEach)
	g.Expect(limited).To(BeNumerically("<", unlimited/2))
	g.Expect(limitedEach).To(BeNumerically("<=", unlimitedEach))
}

func TestShareDividesLoadLimitAmongDataCentres(t *testing.T) {
	g := NewWithT(t)
	g.Expect(spread.LocalLoadLimit(0, 5, 9)).To(Equal(0), "no limit")
	g.Expect(spread.LocalLoadLimit(3, 5, 20)).To(Equal(1), "each data centre may run one load")
	g.Expect(spread.LocalLoadLimit(31, 5, 0)).To(Equal(31), "the other data centres load nothing")
	g.Expect(spread.LocalLoadLimit(31, 5, 30)).To(Equal(7))
}

// smallEngine returns a model of four layers. A server of its card takes two when it leaves memory
// for requests.
func smallEngine() *routes.Engine {
	return &routes.Engine{Layers: 4, LayerMB: 1, TokenBytes: 1000, LoadTime: time.Second, Cards: map[string]routes.Card{"c": {MB: 3, Pace: 1}}}
}

func TestAdmitPrefersLayersThatNobodyHolds(t *testing.T) {
	g := NewWithT(t)
	servers := []spread.Server{{ID: "s1"}, {ID: "s2"}, {ID: "s3"}, {ID: "s4", Held: api.Layers{From: 0, To: 1}}}
	extra := spread.Order{Server: "s1", Layers: api.Layers{From: 0, To: 1}}
	missingHere := spread.Order{Server: "s2", Layers: api.Layers{From: 1, To: 2}}
	missingEverywhere := spread.Order{Server: "s3", Layers: api.Layers{From: 2, To: 4}}
	noLoad := spread.Order{Server: "s4", Layers: api.Layers{From: 0, To: 1}}
	orders := []spread.Order{extra, missingHere, missingEverywhere, noLoad}
	loads := spread.LoadLimit{MaxConcurrent: 1, RemoteCopies: []int{1, 1, 0, 0}}
	g.Expect(loads.Admit(smallEngine(), servers, orders)).To(Equal([]spread.Order{noLoad, missingEverywhere}), "an order that loads nothing is always admitted")
	loads.MaxConcurrent = 2
	g.Expect(loads.Admit(smallEngine(), servers, orders)).To(Equal([]spread.Order{noLoad, missingEverywhere, missingHere}))
	g.Expect(spread.LoadLimit{}.Admit(smallEngine(), servers, orders)).To(Equal(orders))
	servers[0].Loading, servers[0].Target = true, api.Layers{From: 0, To: 1}
	g.Expect(loads.Admit(smallEngine(), servers, orders[1:])).To(Equal([]spread.Order{noLoad, missingEverywhere}), "one load is running")
	servers[0].LoadRemaining = -time.Second
	g.Expect(loads.Admit(smallEngine(), servers, orders[1:])).To(Equal([]spread.Order{noLoad, missingEverywhere, missingHere}), "the running load is long overdue")
}

func TestDataCentresStartWithDifferentLayers(t *testing.T) {
	g := NewWithT(t)
	servers := []spread.Server{{ID: "s1"}, {ID: "s2"}}
	orders := []spread.Order{{Server: "s1", Layers: api.Layers{From: 0, To: 2}}, {Server: "s2", Layers: api.Layers{From: 2, To: 4}}}
	for turn, server := range []string{"s1", "s2", "s1"} {
		loads := spread.LoadLimit{MaxConcurrent: 1, RemoteCopies: make([]int, 4), Offset: turn}
		admitted := loads.Admit(smallEngine(), servers, orders)
		g.Expect(admitted).To(HaveLen(1))
		g.Expect(admitted[0].Server).To(Equal(server))
	}
}
