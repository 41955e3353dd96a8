package division_test

import (
	"fmt"
	"testing"
	"time"

	"oleandershunt.example/oleandershunt/internal/core/division"
)

// overloaded returns services in data centres of which every third one is overloaded.
func overloaded(services, dataCentres int) division.Input {
	in := division.Input{Services: make(map[string]division.Service), Elapsed: 250 * time.Millisecond}
	for s := range services {
		sites := make(map[string]division.Site)
		for i := range dataCentres {
			sites[fmt.Sprintf("dc%02d", i)] = site(float64(40+(i+s)%3*60), 100)
		}
		in.Services[fmt.Sprint("llm", s)] = division.Service{Sites: sites}
	}
	return in
}

// BenchmarkDivide measures making a plan, which each VM does four times a second.
func BenchmarkDivide(b *testing.B) {
	for _, size := range []struct{ services, dataCentres int }{{1, 3}, {35, 13}} {
		b.Run(fmt.Sprintf("services=%d/dataCentres=%d", size.services, size.dataCentres), func(b *testing.B) {
			in := overloaded(size.services, size.dataCentres)
			in.Previous = division.Divide(in)
			for b.Loop() {
				division.Divide(in)
			}
		})
	}
}
