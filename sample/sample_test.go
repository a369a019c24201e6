package sample_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/sample"
)

// The two example deployments must have the specified sizes.
func TestDeploymentSizes(t *testing.T) {
	cases := map[string]struct{ domains, vms, engines, services, models, adapters int }{
		"vadodara": {4, 8, 9, 4, 13, 60},
		"vidzeme":  {3, 7, 12, 3, 20, 70},
	}
	require.Len(t, sample.Names(), len(cases))
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s, err := sample.Settings(name)
			require.NoError(t, err)
			require.Len(t, s.FailureDomains(), c.domains)
			require.Len(t, s.VMs(), c.vms)
			require.Len(t, s.Pools()[0].Servers(s.FailureDomains()), c.engines)
			require.Len(t, s.Pools()[1].Servers(s.FailureDomains()), c.services)
			docs, err := sample.Profiles(name)
			require.NoError(t, err)
			models, adapters := 0, 0
			for _, doc := range docs {
				models += len(doc.Models)
				for _, m := range doc.Models {
					adapters += len(m.Adapters)
				}
			}
			require.Equal(t, c.models, models)
			require.Equal(t, c.adapters, adapters)
		})
	}
	_, err := sample.Settings("atlantis")
	require.Error(t, err)
}
