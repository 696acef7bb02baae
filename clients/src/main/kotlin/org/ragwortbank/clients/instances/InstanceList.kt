package org.ragwortbank.clients.instances

import kotlinx.collections.immutable.PersistentList
import org.ragwortbank.core.model.Instance

/** The platform's list of live and leaving instances. */
interface InstanceList {
    /** Reads the list; null when it is unavailable or malformed. */
    suspend fun read(): PersistentList<Instance>?
}
