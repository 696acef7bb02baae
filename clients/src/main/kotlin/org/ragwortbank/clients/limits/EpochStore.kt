package org.ragwortbank.clients.limits

import kotlinx.collections.immutable.toPersistentList
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.ragwortbank.clients.config.ConfigStore
import org.ragwortbank.clients.kv.KeyValueStore
import org.ragwortbank.clients.kv.KvCondition
import org.ragwortbank.clients.kv.KvEntry
import org.ragwortbank.clients.kv.KvPut
import org.ragwortbank.clients.kv.KvResult
import org.ragwortbank.core.limits.LimitEpoch
import org.ragwortbank.core.limits.LimitMember
import org.ragwortbank.core.model.Incarnation
import org.ragwortbank.core.model.InstanceName

/** Reads and replaces the limit epoch in the key-value service. */
class EpochStore(private val store: KeyValueStore) {
    /** Reads the current epoch. */
    suspend fun read(): EpochRead =
        when (val result = store.read(listOf(KEY))) {
            is KvResult.Unanswered -> EpochRead.Unavailable(result.cause)
            is KvResult.Answered -> decode(result.value[KEY])
        }

    /** Replaces [expected] by [proposed] if it is still the current epoch, and returns the epoch stored afterwards. */
    suspend fun propose(expected: LimitEpoch?, proposed: LimitEpoch): EpochRead {
        val current = read()
        if (current is EpochRead.Found && current.epoch == expected) {
            val text = Json.encodeToString(EpochDocument.serializer(), toDocument(proposed))
            store.write(listOf(KvCondition(KEY, current.revision)), listOf(KvPut(KEY, text)), emptyList())
        }
        return read()
    }

    private fun decode(entry: KvEntry?): EpochRead =
        try {
            val document = entry?.let { Json.decodeFromString(EpochDocument.serializer(), it.value) }
            EpochRead.Found(document?.let(::toEpoch), entry?.revision ?: 0)
        } catch (e: SerializationException) {
            EpochRead.Unavailable("the limit epoch is malformed: ${e.message}")
        }

    private fun toDocument(epoch: LimitEpoch): EpochDocument =
        EpochDocument(
            number = epoch.number,
            founder = toDocument(epoch.bootstrapMember),
            members = epoch.members.map(::toDocument),
            retired = epoch.retired.map(::toDocument),
        )

    private fun toDocument(member: LimitMember): MemberDocument =
        MemberDocument(member.name.value, member.incarnation.value, member.address)

    private fun toEpoch(document: EpochDocument): LimitEpoch =
        LimitEpoch(
            number = document.number,
            bootstrapMember = toMember(document.founder),
            members = document.members.map(::toMember).toPersistentList(),
            retired = document.retired.map(::toMember).toPersistentList(),
        )

    private fun toMember(document: MemberDocument): LimitMember =
        LimitMember(InstanceName(document.name), Incarnation(document.incarnation), document.address)

    @Serializable
    private data class EpochDocument(
        val number: Long,
        val founder: MemberDocument,
        val members: List<MemberDocument>,
        val retired: List<MemberDocument>,
    )

    @Serializable
    private data class MemberDocument(
        val name: String,
        val incarnation: String,
        val address: String,
    )

    private companion object {
        const val KEY = ConfigStore.WATCHED_PREFIX + "epoch"
    }
}
