package backends_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"oleandershunt.example/oleandershunt/internal/core/backends"
)

// uniformServers returns servers in three data centres, with four servers to a copy of the layers.
func uniformServers(n int) []backends.Server {
	var list []backends.Server
	for i := range n {
		from := i % 4 * 20
		s := server(fmt.Sprintf("s%04d", i), string(rune('a'+i/4%3)), "fast", from, from+20)
		s.Address = fmt.Sprintf("10.0.%d.%d:1", i/250, i%250)
		list = append(list, s)
	}
	return list
}

// BenchmarkPath measures choosing the path of one request.
func BenchmarkPath(b *testing.B) { benchmarkPath(b, uniformServers, 33, 86, 770, 3000) }

func benchmarkPath(b *testing.B, fleet func(int) []backends.Server, sizes ...int) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := backends.New()
			f.Replace(0, fleet(n), 1)
			for b.Loop() {
				if _, err := f.Path(0, service(), request()); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkPathElsewhere measures choosing the path of one request that is to start in another data
// centre.
func BenchmarkPathElsewhere(b *testing.B) {
	f := backends.New()
	f.Replace(0, uniformServers(33), 1)
	elsewhere := request()
	elsewhere.Preferred = "b"
	for b.Loop() {
		if _, err := f.Path(0, service(), elsewhere); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkReplace measures applying the first list on a VM that starts.
func BenchmarkReplace(b *testing.B) {
	for _, n := range []int{33, 190, 770, 3000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			list := uniformServers(n)
			for b.Loop() {
				backends.New().Replace(0, list, 1)
			}
		})
	}
}

// mixedRangeServers returns servers in three data centres with ranges of different lengths, as
// layouts over different cards have them: most ranges begin and end where no other one does.
func mixedRangeServers(n int) []backends.Server {
	var list []backends.Server
	starts := make([]int, 3)
	for i := range n {
		place := i % 3
		length := 4 + i*7%11
		from := starts[place] % 80
		to := min(from+length, 80)
		starts[place] = to
		s := server(fmt.Sprintf("s%04d", i), string(rune('a'+place)), "fast", from, to)
		s.Address = fmt.Sprintf("10.0.%d.%d:1", i/250, i%250)
		s.Slots = 192
		list = append(list, s)
	}
	return list
}

// BenchmarkPathMixedRanges measures choosing the path of one request over servers with ranges of
// different lengths.
func BenchmarkPathMixedRanges(b *testing.B) {
	benchmarkPath(b, mixedRangeServers, 33, 106, 195, 770, 3000)
}

// BenchmarkPausedPath measures a request for which all servers asked for a pause, each with a
// different end.
func BenchmarkPausedPath(b *testing.B) {
	for _, n := range []int{33, 195, 770} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := backends.New()
			servers := mixedRangeServers(n)
			f.Replace(0, servers, 1)
			for i, s := range servers {
				f.Pause(0, s.ID, time.Second+time.Duration(i)*time.Millisecond)
			}
			for b.Loop() {
				if _, err := f.Path(0, service(), request()); !errors.As(err, new(*backends.PauseError)) {
					b.Fatal(err)
				}
			}
		})
	}
}
