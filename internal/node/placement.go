package node

import (
	"github.com/oklog/run"

	"oleandershunt.example/oleandershunt/internal/actors"
	"oleandershunt.example/oleandershunt/internal/engine"
	"oleandershunt.example/oleandershunt/internal/placement"
)

// addPlacement lets this VM hold the placement role of its data centre.
func addPlacement(group *run.Group, p *parts) {
	p.placement = placement.New(p.log, p.self, p.platform, engine.NewHTTPClient(), p.directory, p.loop.Now)
	p.loop.Handle(p.placement.Observe)
	p.drain.OnDrain(p.placement.Release)
	actors.AddContext(group, p.placement.RunRole)
	actors.AddContext(group, p.placement.Run)
	actors.AddContext(group, p.placement.RunStatus)
}
