package division_test

import "oleandershunt.example/oleandershunt/internal/testutil"

const propertyChecks = 100

func init() { testutil.FixRapid(propertyChecks) }
