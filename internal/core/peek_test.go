package core_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/core"
	"oleandershunt.example/oleandershunt/internal/core/request"
	"oleandershunt.example/oleandershunt/internal/core/route"
)

// Guards against overloading the keys' owners with a peek for every refused
// request. Repeats above the limit are refused at once with may_have_run, and the
// pending peeks expire after 200 ms.
func TestPendingPeeksAreLimited(t *testing.T) {
	g := NewWithT(t)
	m := core.New(core.Options{VM: "a", DataCentre: "d1", Policy: route.PolicyLeastInFlight, Seed: 1, MaxAttempts: 4})
	m.Step(0, core.ConfigInForce{Set: propertySet(t)})
	refusePast := func(now core.Time, from int) (peeks, uncertain int) {
		for i := range 300 {
			for _, action := range m.Step(now, core.RequestArrived{
				Request: request.ID(fmt.Sprint("r", from+i)), Account: "x", Pipeline: "p", Key: "k", KeyGiven: true, Deadline: now,
			}) {
				switch a := action.(type) {
				case core.Peek:
					peeks++
				case core.Refuse:
					g.Expect(a.Execution).To(Equal(request.MayHaveRun))
					uncertain++
				}
			}
		}
		return peeks, uncertain
	}
	peeks, uncertain := refusePast(time.Second, 0)
	g.Expect([]int{peeks, uncertain}).To(Equal([]int{256, 44}))
	uncertain = 0
	for _, action := range m.Step(time.Second+200*time.Millisecond, core.Tick{}) {
		if refuse, ok := action.(core.Refuse); ok {
			g.Expect(refuse.Execution).To(Equal(request.MayHaveRun))
			uncertain++
		}
	}
	g.Expect(uncertain).To(Equal(256))
	peeks, _ = refusePast(2*time.Second, 300)
	g.Expect(peeks).To(Equal(256))
}
