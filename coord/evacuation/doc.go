// Package evacuation decides, for one host, which availability zones are evacuated. Hosts exchange the stored list
// of evacuated zones; of two lists the one with the higher version holds. After a restore of the store, a zone that the list
// lacks is kept for a time, and one that had been removed and is listed again is withheld for a time.
//
// The package does no I/O and reads no clock: times are arguments on any clock that never goes back.
package evacuation
