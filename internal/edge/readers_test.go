package edge

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Symptom: the calls of the store grow with the VMs times the changes. Sequence: 27 VMs
// of a data centre watch the same entries. Cause: each asks for the newest ones, though
// the others would tell it what matters at once.
func TestAFewVMsOfADataCentreReadTheNewestEntries(t *testing.T) {
	g := NewWithT(t)
	var names []string
	for i := range 27 {
		names = append(names, fmt.Sprint("vm", i))
	}
	now, relaxed := time.Duration(0), 0
	all := make(map[string]*readers)
	for _, name := range names {
		r := &readers{self: name, near: func() []string { return names }, now: func() time.Duration { return now }}
		g.Expect(r.relaxed()).To(BeFalse(), "no reader was heard")
		r.hear()
		if r.relaxed() {
			relaxed++
		}
		all[name] = r
	}
	g.Expect(relaxed).To(Equal(len(names) - entryReaders))
	now += readerTrust
	for _, r := range all {
		g.Expect(r.relaxed()).To(BeFalse(), "the readers fell silent")
	}

	// When the readers are gone, others take their place.
	gone := make(map[string]bool)
	for _, name := range names {
		gone[name] = all[name].reading()
	}
	names = slices.DeleteFunc(names, func(name string) bool { return gone[name] })
	g.Expect(names).To(HaveLen(27 - entryReaders))
	reading := 0
	for _, name := range names {
		if all[name].reading() {
			reading++
		}
	}
	g.Expect(reading).To(Equal(entryReaders))
}
