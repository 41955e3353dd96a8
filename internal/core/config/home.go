package config

import (
	"cmp"
	"fmt"

	"oleandershunt.example/oleandershunt/api"
)

// checkHomeChange refuses a change of a client account's home data centre that
// does not name the former home. The home determines which VMs store the claims
// of the account's idempotency keys: without the former home, a key used before
// the change would be unknown after it and its request could run a second time.
func (c *candidate) checkHomeChange() {
	if c.former == nil {
		return
	}
	before, ok := c.former.Spec().(*api.ClientAccountSpec)
	if !ok {
		return
	}
	after := c.record.Spec().(*api.ClientAccountSpec)
	from := cmp.Or(before.HomeDataCentre, api.AnyHome)
	if cmp.Or(after.HomeDataCentre, api.AnyHome) == from || after.FormerHomeDataCentre == from {
		return
	}
	c.refuse(api.Violation{
		Rule:    api.RuleHome,
		Record:  c.Key(),
		Field:   api.FieldPath(c.record.Header, "formerHomeDataCentre"),
		Problem: fmt.Sprintf("the home changes from %s and is not named as the former one", from),
		Remedy:  fmt.Sprintf("set it to %q, and remove it once the retention of claims is over", from),
	})
}
