package quarantine_test

import (
	"testing"
	"time"

	"oleandershunt.example/oleandershunt/internal/core/quarantine"
	"oleandershunt.example/oleandershunt/internal/testutil"
)

// BenchmarkAdmit is a request of four contents beside a full table: its admission, and the record of its
// answer. It reports the memory of the table, of which each content has sixteen losses, and of the
// answered parts.
func BenchmarkAdmit(b *testing.B) {
	before := testutil.Heap()
	table := quarantine.New()
	for i := range 4096 {
		for n := range 16 {
			table.RecordLoss(second, quarantine.Content{Path: "llm", Hash: uint64(i), Part: true}, quarantine.Loss{Process: process(n), At: second})
		}
	}
	for i := range 2 * 8192 {
		table.RecordAnswer(second, quarantine.Content{Path: "llm", Hash: uint64(1<<20 + i), Part: true}, second)
	}
	memory := float64(testutil.Heap()-before) / (1 << 20)
	contents := make([]quarantine.Content, 4)
	for i := 0; b.Loop(); i++ {
		now := 2*second + time.Duration(i)
		for n := range contents {
			contents[n] = quarantine.Content{Path: "llm", Hash: uint64(1<<20 + i%1000 + n), Part: true}
		}
		table.Admit(now, contents, 1)
		for _, content := range contents {
			table.RecordAnswer(now, content, now)
		}
	}
	b.ReportMetric(memory, "MB")
}
