package coordinator

import (
	"testing"

	"filbertledge/internal/fleet"
)

// TestLoadingLimitIgnoresSpotServers guards against loads that slow each other down once servers were ordered: the store of
// the weights serves as many loads at once as before.
func TestLoadingLimitIgnoresSpotServers(t *testing.T) {
	for _, tc := range []struct{ regular, spot, want int }{{45, 0, 9}, {45, 40, 9}, {8, 0, 2}, {0, 30, 2}} {
		var servers []fleet.Server
		for i := range tc.regular + tc.spot {
			servers = append(servers, fleet.Server{Spot: i >= tc.regular})
		}
		if got := loadingLimit(servers); got != tc.want {
			t.Errorf("%d regular and %d spot servers: %d loads at once, want %d", tc.regular, tc.spot, got, tc.want)
		}
	}
}
