package org.ragwortbank.experiments.limits

import org.ragwortbank.core.model.FailureDomain
import org.ragwortbank.core.model.Instance
import org.ragwortbank.core.model.InstanceName
import org.ragwortbank.core.model.InstanceRole

/** Instances of the fake fleet. */
internal object FleetInstances {
    /** An entry's instance. */
    fun entry(name: InstanceName, address: String): Instance =
        Instance(name, InstanceRole.ENTRY, address, address, FailureDomain("a"))
}
