package history_test

import (
	"errors"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"oleandershunt.example/oleandershunt/internal/core/history"
)

func at(t rapid.TB, number, revision uint64) history.Version {
	version, err := history.NewVersion(number, revision)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return version
}

// Guards against a high revision of a former history counting as newer.
func TestVersionsAreOrderedByHistoryThenRevision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		numbers, revisions := rapid.Uint64Range(0, 1<<16-1), rapid.Uint64Range(0, 1<<48-1)
		a, b := [2]uint64{numbers.Draw(t, "history"), revisions.Draw(t, "revision")}, [2]uint64{numbers.Draw(t, "history"), revisions.Draw(t, "revision")}
		v, w := at(t, a[0], a[1]), at(t, b[0], b[1])
		g.Expect(v < w).To(Equal(a[0] < b[0] || a[0] == b[0] && a[1] < b[1]))
		g.Expect([2]uint64{v.History(), v.Revision()}).To(Equal(a))
	})
}

func TestVersionWithoutHistoryEqualsItsRevision(t *testing.T) {
	g := NewWithT(t)
	g.Expect(at(t, 0, 77)).To(BeEquivalentTo(77))
	g.Expect(at(t, 0, 77).String()).To(Equal("77"))
	g.Expect(at(t, 2, 77).String()).To(Equal("2.77"))
}

func TestVersionOutOfRangeIsAnError(t *testing.T) {
	g := NewWithT(t)
	for _, beyond := range [][2]uint64{{1 << 16, 1}, {1, 1 << 48}} {
		_, err := history.NewVersion(beyond[0], beyond[1])
		ranged := new(history.RangeError)
		g.Expect(errors.As(err, &ranged)).To(BeTrue())
		g.Expect(err.Error()).To(ContainSubstring("history %d", beyond[0]))
	}
}
