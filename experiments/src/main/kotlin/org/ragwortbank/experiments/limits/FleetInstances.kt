package org.ragwortbank.experiments.limits

import org.ragwortbank.core.model.FailureDomain
import org.ragwortbank.core.model.Instance
import org.ragwortbank.core.model.InstanceName
import org.ragwortbank.core.model.InstanceRole

/** Instance list records of the simulated fleet. */
internal object FleetInstances {
    /** The instance record of the entry [name] at [address]. */
    fun entry(name: InstanceName, address: String): Instance =
        Instance(name, InstanceRole.ENTRY, address, address, FailureDomain("a"))
}
