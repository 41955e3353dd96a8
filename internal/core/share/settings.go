package share

import (
	"fmt"
	"maps"
	"math"
	"slices"

	"github.com/rotisserie/eris"
)

// maxWeight bounds weights, so that sums of them stay exact enough.
const maxWeight = 1000

// ErrEntitlement marks an entitlement that can't be used.
var ErrEntitlement = eris.New("entitlement of the client account is invalid: correct it")

// EntitlementError says which field of which account has a value that can't be used. It wraps
// ErrEntitlement.
type EntitlementError struct {
	Account, Field string
	Value          float64
	// Allowed describes the permitted values.
	Allowed string
}

func (e *EntitlementError) Error() string {
	return fmt.Sprintf("client account %q has %s %v, allowed is %s", e.Account, e.Field, e.Value, e.Allowed)
}

// Unwrap returns ErrEntitlement.
func (e *EntitlementError) Unwrap() error { return ErrEntitlement }

// Entitlement is what an account is entitled to of each service that is short of capacity.
type Entitlement struct {
	// Weight is the account's weight against others. 0 means 1.
	Weight float64
	// Reserved is the fraction of the capacity that the account gets before the rest is divided.
	Reserved float64
}

func (e Entitlement) weight() float64 {
	if e.Weight == 0 {
		return 1
	}
	return e.Weight
}

// Validate returns an *EntitlementError for the first entitlement, by account, that can't be used.
func Validate(entitlements map[string]Entitlement) error {
	total := 0.0
	for _, account := range slices.Sorted(maps.Keys(entitlements)) {
		e := entitlements[account]
		if !(e.Weight >= 0 && e.Weight <= maxWeight) {
			return InvalidWeight(account, e.Weight)
		}
		if !(e.Reserved >= 0 && e.Reserved <= 1) {
			return &EntitlementError{account, "reservedFraction", e.Reserved, "0 to 1"}
		}
		if total += e.Reserved; total > 1+reservedTolerance {
			left := math.Max(0, 1-(total-e.Reserved))
			return &EntitlementError{account, "reservedFraction", e.Reserved, fmt.Sprintf("0 to %.3g, which the accounts before it leave", left)}
		}
	}
	return nil
}

// InvalidWeight returns the error of a weight that can't be used.
func InvalidWeight(account string, weight float64) *EntitlementError {
	return &EntitlementError{account, "weight", weight, fmt.Sprintf("above 0 up to %d", maxWeight)}
}

// reservedTolerance is the rounding error permitted in the sum of all reserved fractions.
const reservedTolerance = 1e-9
