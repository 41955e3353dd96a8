package config

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/api"
)

// After a change of homeDataCentre, the VMs of the new home don't know idempotency
// keys used before, and a repeated request would run twice. The record must name
// the former home, so that both homes decide on a key.
func TestHomeChangeMustNameFormerHome(t *testing.T) {
	account := func(version uint64, homeFields string) Change {
		return recordChange(api.KindClientAccount, "growers", version, api.SchemaV1, `{"keySHA256":["`+strings.Repeat("ab", 32)+`"]`+homeFields+`}`)
	}
	for homeFields, accepted := range map[string]bool{
		`,"homeDataCentre":"howrah"`:                                   false,
		`,"homeDataCentre":"howrah","formerHomeDataCentre":"rajarhat"`: false,
		`,"homeDataCentre":"howrah","formerHomeDataCentre":"any"`:      true,
		`,"homeDataCentre":"any"`:                                      true,
		`,"homeDataCentre":"","formerHomeDataCentre":"howrah"`:         true,
	} {
		f := newFixture(t)
		f.accept(append(baseChanges(), account(50, ""))...)
		out := f.accept(account(51, homeFields))
		found := violations(out, "ClientAccount/growers")
		if accepted {
			f.Expect(found).To(BeEmpty(), homeFields)
			continue
		}
		f.Expect(found).To(HaveLen(1), homeFields)
		f.Expect(found[0].Rule).To(Equal(api.RuleHome))
	}
}
