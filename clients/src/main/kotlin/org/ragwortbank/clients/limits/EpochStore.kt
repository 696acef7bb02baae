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
        when (val answer = store.read(listOf(KEY))) {
            is KvResult.Unanswered -> EpochRead.Unavailable(answer.cause)
            is KvResult.Answered -> decode(answer.value[KEY])
        }

    /** Replaces [expected] by [proposed] if it is still the current epoch, and returns the epoch stored afterwards. */
    suspend fun propose(expected: LimitEpoch?, proposed: LimitEpoch): EpochRead {
        val current = read()
        if (current is EpochRead.Found && current.epoch == expected) {
            val text = Json.encodeToString(EpochDocument.serializer(), document(proposed))
            store.write(listOf(KvCondition(KEY, current.revision)), listOf(KvPut(KEY, text)), emptyList())
        }
        return read()
    }

    private fun decode(entry: KvEntry?): EpochRead =
        try {
            val document = entry?.let { Json.decodeFromString(EpochDocument.serializer(), it.value) }
            EpochRead.Found(document?.let(::epoch), entry?.revision ?: 0)
        } catch (e: SerializationException) {
            EpochRead.Unavailable("the limit epoch is malformed: ${e.message}")
        }

    private fun document(epoch: LimitEpoch): EpochDocument =
        EpochDocument(
            number = epoch.number,
            founder = document(epoch.bootstrapMember),
            members = epoch.members.map(::document),
            retired = epoch.retired.map(::document),
        )

    private fun document(member: LimitMember): MemberDocument =
        MemberDocument(member.name.value, member.incarnation.value, member.address)

    private fun epoch(document: EpochDocument): LimitEpoch =
        LimitEpoch(
            number = document.number,
            bootstrapMember = member(document.founder),
            members = document.members.map(::member).toPersistentList(),
            retired = document.retired.map(::member).toPersistentList(),
        )

    private fun member(document: MemberDocument): LimitMember =
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
