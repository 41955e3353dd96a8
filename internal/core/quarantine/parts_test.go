package quarantine_test

import (
	"slices"
	"testing"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/core/quarantine"
)

var (
	partA  = quarantine.Content{Path: "llm", Hash: 1, Part: true}
	partB  = quarantine.Content{Path: "llm", Hash: 2, Part: true}
	shared = quarantine.Content{Path: "llm", Hash: 3, Part: true}
)

// Guards against refusing everybody because of a part that nearly all prompts begin with.
func TestAPartThatIsAnsweredIsNeverHeldBack(t *testing.T) {
	g := NewWithT(t)
	table := quarantine.New()
	table.RecordAnswer(second, shared, second)
	g.Expect(lose(table, 2*second, shared, 1, 2, 3, 4, 5)).To(Equal(quarantine.Clear))
	g.Expect(lose(table, 2*second, partA, 1, 2, 3)).To(Equal(quarantine.Held))
	g.Expect(table.Len()).To(Equal(1))
	table.RecordAnswer(3*second, partA, 3*second)
	g.Expect(table.State(3*second, partA)).To(Equal(quarantine.Clear))
	g.Expect(lose(table, 10*60*second, shared, 6, 7, 8)).To(Equal(quarantine.Held), "servers have changed since")
}

// loseTrial runs a trial with contents that is lost with a server, and reports whether one is allowed
// within ten seconds.
func loseTrial(table *quarantine.Table, server int, request uint64, contents ...quarantine.Content) bool {
	for at := 10 * second; at < 20*second; at += second {
		decision, now := tryTrial(table, at, request, contents...)
		if decision != quarantine.RunTrial {
			table.EndTrial(contents, request)
			continue
		}
		onTrial := table.OnTrial(contents, request)
		for _, content := range contents {
			loss := quarantine.Loss{Process: process(server), At: now}
			if slices.Contains(onTrial, content) {
				loss.Trial, loss.Joint = request, len(onTrial) > 1
			}
			table.RecordLoss(now, content, loss)
		}
		table.EndTrial(contents, request)
		return true
	}
	return false
}

// Guards against blocking a sound part that always comes together with one that ends servers, once it
// comes alone.
func TestPartsThatComeTogetherAreToldApart(t *testing.T) {
	g := NewWithT(t)
	table := quarantine.New()
	lose(table, second, partA, 1, 2, 3)
	lose(table, second, partB, 1, 2, 3)
	g.Expect(loseTrial(table, 4, 1, partA, partB)).To(BeTrue())
	g.Expect(loseTrial(table, 5, 2, partA, partB)).To(BeTrue())
	g.Expect(loseTrial(table, 6, 3, partA, partB)).To(BeFalse(), "blocked together")
	g.Expect(table.State(30*second, partB)).To(Equal(quarantine.Held))
	g.Expect(loseTrial(table, 7, 4, partA)).To(BeTrue(), "a trial of one")
	g.Expect(table.State(30*second, partA)).To(Equal(quarantine.Blocked))
	g.Expect(table.State(30*second, partB)).To(Equal(quarantine.Clear), "its losses are explained")
}
