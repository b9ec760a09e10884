package fleet

import "buckthornseam.dev/coord/evacuation"

// Evacuations is the stored list of the availability zones whose targets are to get nothing. Lists are ordered by version.
type Evacuations = evacuation.List
