package registration

import "github.com/oatlatch/oatlatch/internal/peer"

var testIdentity = peer.Identity{Host: "a-1", DataCentre: "a"}
