package edge

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	objects "oleandershunt.example/oleandershunt/internal/platform"
)

// Guards against: an older configuration in the store's copy proves that keys are current.
func TestAnOlderConfigurationProvesNothing(t *testing.T) {
	g := NewWithT(t)
	keeper := newProofKeeper()
	keeper.prove(21, objects.Object{Version: 128, Value: []byte("21")}, time.Second)
	keeper.prove(19, objects.Object{Version: 300, Value: []byte("19")}, 2*time.Second)
	keeper.renew(19, 2*time.Second)
	g.Expect(keeper.get().provenAt).To(Equal(time.Second))
	g.Expect(string(keeper.get().object.Value)).To(Equal("21"), "what other VMs are told")
	keeper.prove(21, objects.Object{Version: 310, Value: []byte("21")}, 3*time.Second)
	g.Expect(keeper.get().provenAt).To(Equal(3 * time.Second))
	keeper.prove(24, objects.Object{Version: 120, Value: []byte("24")}, 4*time.Second)
	g.Expect(keeper.get().config).To(BeEquivalentTo(24), "at whatever revision it is written")
}
