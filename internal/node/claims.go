package node

import (
	"github.com/oklog/run"

	"oleandershunt.example/oleandershunt/internal/actors"
	"oleandershunt.example/oleandershunt/internal/claims"
	"oleandershunt.example/oleandershunt/internal/platform"
)

const (
	// claimReadsPerSecond is what a VM may read of the shards' heads.
	claimReadsPerSecond = 40
	claimCallBurst      = 100
)

// addClaims lets this VM decide keys of non-idempotent requests with the others.
// The claims have a client of their own: their budget is that of the group
// commit, and a burst of other calls must not hold back a journal.
func addClaims(group *run.Group, p *parts) {
	calls := float64(p.settings.Claims.WritesPerSecond + claimReadsPerSecond)
	service := claims.New(claims.Options{
		Settings: p.settings.Claims,
		Self:     p.self,
		Store: platform.NewClient(p.settings.Platform.URL,
			platform.WithVM(p.settings.VM.Name), platform.WithBudget(calls, claimCallBurst)),
		Directory: p.directory,
		Dialer:    p.dialer,
		Loop:      p.loop,
		Log:       p.log,
	})
	p.peers.Handle(service.Handler())
	p.loop.HandleClaims(service)
	p.drain.OnDrain(service.Handover)
	actors.AddContext(group, service.Run)
}
